from __future__ import annotations


def after_scenario(context, scenario):
    cluster = getattr(context, "cluster", None)
    if cluster is not None:
        cluster.close()
