"""Seeded random search over interleavings of the decision code of a whole deployment.

The package is a development tool and is not part of the distribution.

``python -m explorer --help`` lists the options; docs/exploration.md describes the search.
"""
