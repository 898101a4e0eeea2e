"""Tests of the ports that tests and soaks use."""

from __future__ import annotations

import unittest

from greengagefall.bench.processes import free_addresses

CALLS = 1000


class FreeAddressesTests(unittest.TestCase):
    def test_no_address_is_returned_twice_before_it_is_bound(self):
        addresses = [address for _ in range(CALLS) for address in free_addresses(3)]
        self.assertEqual(len(set(addresses)), len(addresses))


if __name__ == "__main__":
    unittest.main()
