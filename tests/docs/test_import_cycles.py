"""The workspace has no import cycles between modules or packages."""

from __future__ import annotations

from pathlib import Path

import grimp
import networkx

ROOT = Path(__file__).parents[2]


def package_names() -> list[str]:
    """Return the import packages of the workspace."""
    folders = [*ROOT.glob("packages/*/src/*"), *ROOT.glob("platform/src/*")]
    return sorted(folder.name for folder in folders if (folder / "__init__.py").exists())


def test_modules_have_no_import_cycle() -> None:
    """No module imports itself transitively, including imports for type checking only."""
    imports = grimp.build_graph(*package_names(), cache_dir=None)
    graph = networkx.DiGraph(
        (module, imported)
        for module in imports.modules
        for imported in imports.find_modules_directly_imported_by(module)
    )
    cycles = [sorted(component) for component in networkx.strongly_connected_components(graph)]
    assert [cycle for cycle in cycles if len(cycle) > 1] == []


def test_packages_have_no_import_cycle() -> None:
    """No package imports itself transitively through another package."""
    imports = grimp.build_graph(*package_names(), cache_dir=None)
    graph = networkx.DiGraph(
        (module.split(".")[0], imported.split(".")[0])
        for module in imports.modules
        for imported in imports.find_modules_directly_imported_by(module)
    )
    graph.remove_edges_from(list(networkx.selfloop_edges(graph)))
    cycles = [sorted(component) for component in networkx.strongly_connected_components(graph)]
    assert [cycle for cycle in cycles if len(cycle) > 1] == []
