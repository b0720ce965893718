Feature: Files that a power loss brings back are not needed, and none is missed
  After a power loss each file that was created, renamed or removed without a sync of its
  folder may be kept or lost. What was confirmed is found, and nothing counts as lost.

  # Guards against a control process that does not start on a full disk.
  Scenario: A control journal opens on a full disk beside a file that has come back
    When 60 control journals with such a file are opened on a full disk
    And power is lost in the next write of each
    Then each can be opened again
