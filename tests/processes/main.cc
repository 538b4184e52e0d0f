// Runs the tests of real processes with a Qt event loop.
#include <gtest/gtest.h>

#include <QCoreApplication>

int main(int argc, char** argv) {
  QCoreApplication application(argc, argv);
  testing::InitGoogleTest(&argc, argv);
  return RUN_ALL_TESTS();
}
