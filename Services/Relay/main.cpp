#include "RelayService.h"

int main(int argc, char **argv)
{
    return Jujube::runRelay(argc, argv);
}
