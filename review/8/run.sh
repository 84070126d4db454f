#!/bin/sh
# Plays the case of claim.txt; TROUBLE=0 without the disruption. Exits with 1 if the rule was broken.
exec env PYTHONDONTWRITEBYTECODE=1 python3 "$(dirname "$0")/case.py"
