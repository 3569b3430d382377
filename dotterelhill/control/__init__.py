"""Control processes, which connect clients, the store and minions."""
