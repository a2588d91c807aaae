#!/bin/sh
# Imports the inventory of Typothèque Armorique Franchises and sets its rules.
# BRAMLEY_CONTROL and BRAMLEY_KEYS must be set. Run it in this folder.
set -eu

bramleyctl inventory import inventory.csv

# Sessions are long-lived, and an activation must not be executed twice.
bramleyctl service contract licence-desk --idempotent=false --shape long --priority balance

# A download can be repeated.
bramleyctl service contract font-depot --idempotent=true --shape short --priority balance
