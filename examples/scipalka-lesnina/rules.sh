#!/bin/sh
# Imports the inventory of Ščipalka Lesnina and sets its rules. BRAMLEY_CONTROL
# and BRAMLEY_KEYS must be set. Run it in this folder.
set -eu

bramleyctl inventory import inventory.csv

# Feeds and orders are long-lived, and an order must not be executed twice.
bramleyctl service contract orders --idempotent=false --shape long --priority survival

# An upload can be repeated: the same log replaces the earlier one.
bramleyctl service contract kilnlog --idempotent=true --shape short --priority survival
