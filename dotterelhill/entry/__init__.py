"""One entry process: settings, logs, metrics, admin port, composition of the slices."""
