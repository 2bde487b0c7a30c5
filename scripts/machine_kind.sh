#!/bin/sh
# Prints the machine type and interpreter that compiled packages depend on.
# Usage: machine_kind.sh PYTHON
set -eu
machine=$(uname -m)
interpreter=$("$1" -c 'import sys, sysconfig; print(sysconfig.get_config_var("SOABI"), *sys.version_info[:3], sep="-")')
echo "$machine $interpreter"
