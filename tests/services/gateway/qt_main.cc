// The main of tests that use Qt's event loop.
#include <gtest/gtest.h>

#include <QCoreApplication>

int main(int argc, char** argv) {
  QCoreApplication application(argc, argv);
  testing::InitGoogleTest(&argc, argv);
  return RUN_ALL_TESTS();
}
