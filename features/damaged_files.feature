Feature: Damaged files of the data folder give a defined error, or lose nothing
  Each file may be cut at any byte, have flipped bytes, be empty, be of another version or
  have foreign files beside it.

  Scenario: Damaged folders of a control instance
    When 600 damaged folders of a control instance are opened, from seed 1
    Then each gives a StorageError that names a file, or all that was acknowledged

  Scenario: Damaged folders of a store
    When 600 damaged folders of a store are opened, from seed 1
    Then each gives a StorageError that names a file, or says that records may be missing

  Scenario: A store whose last file was cut while it was written counts as whole
    When the last file of a store is cut within its last record
    Then the store counts as whole, without that record

  Scenario: A write of several records of which only the end reached the disk is a torn tail
    When a store loses power while it writes 3 records, and only their end is in its file
    Then the store counts as whole, without these records

  Scenario: A damaged record in a file before a store's last one is no torn tail
    When a byte of the first record in the first file of a store is flipped
    Then the store does not count as whole

  Scenario: Audit records after a damaged one are kept in a copy of their file
    When a byte of an audit record in the middle of its file is flipped, with seed 3
    Then a copy of the file is kept
