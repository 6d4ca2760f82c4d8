"""Owners of objects of the store, who write again what a copy lacks."""

from math import inf


def write_again(store, wanted, *, written_until=inf):
    """Make the store have what its owners want, by kind and name.

    Parameters
    ----------
    written_until : float
        Revision of the last object that is of the copy. What was written later stays;
        so does an object that was written as text.
    """
    for kind, specs in wanted.items():
        present = {**store._objects.get(kind, {})}
        lost = specs.keys() - present.keys()
        outdated = {
            name
            for name, item in present.items()
            if isinstance(item, dict)
            and item["metadata"]["revision"] <= written_until
            and item["spec"] != specs.get(name)
        }
        for name in sorted(lost | outdated):
            if name in specs:
                store.write(kind, name, specs[name])
            else:
                store.remove(kind, name)
