"""Seeded search over interleavings of the composed decision code; not shipped.

``python -m explorer --help`` lists the options; docs/exploration.md describes the search.
"""
