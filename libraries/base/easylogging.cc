// Holds easylogging++'s only storage definition, so that each binary gets one.
#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP
