"""Updates the reference tables in docs/: ``python -m greengagefall.documentation``."""

from __future__ import annotations

from greengagefall.documentation.pages import fill_tables, pages


def main() -> None:
    """Rewrites each page whose tables are out of date."""
    for path in pages():
        text = path.read_text()
        filled = fill_tables(text)
        if filled != text:
            path.write_text(filled)
            print(f"Wrote {path.name}.")


if __name__ == "__main__":
    main()
