"""Test cases on the event loop that the programs use."""

import asyncio
import unittest

import uvloop


class UvloopTestCase(unittest.IsolatedAsyncioTestCase):
    """Runs its tests on uvloop, whose transports close and buffer differently from asyncio's."""

    @classmethod
    def setUpClass(cls) -> None:
        asyncio.set_event_loop_policy(uvloop.EventLoopPolicy())

    @classmethod
    def tearDownClass(cls) -> None:
        asyncio.set_event_loop_policy(None)
