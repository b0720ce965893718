"""Run the command line as a module."""

from burdockwall.cmdline import main

main()
