"""Tasks that are suspected of crashing the minions that start them."""
