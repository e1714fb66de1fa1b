"""Tables of the store that every entry copies, and their exchange between entries."""

from bluebellusher.shared._copy import TableCopy
from bluebellusher.shared._crashes import CRASH_TABLE, CrashTable
from bluebellusher.shared._directory import Directory
from bluebellusher.shared._domain_check import CheckDomain, DomainCheck
from bluebellusher.shared._evacuations import Evacuations
from bluebellusher.shared._log import LogSink
from bluebellusher.shared._members import Members
from bluebellusher.shared._peers import RetainedRow, TableExchange
from bluebellusher.shared._watcher import TableWatcher

__all__ = [
    "CRASH_TABLE",
    "CheckDomain",
    "CrashTable",
    "Directory",
    "DomainCheck",
    "Evacuations",
    "LogSink",
    "Members",
    "RetainedRow",
    "TableCopy",
    "TableExchange",
    "TableWatcher",
]
