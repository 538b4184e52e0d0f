// The only definition of easylogging++'s storage, so that each binary has
// exactly one.
#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP
