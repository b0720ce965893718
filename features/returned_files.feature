Feature: Files that a power loss brings back are not needed, and none is missed
  After a power loss each file that was created, renamed or removed without a sync of its
  folder may be kept or lost. What was confirmed is found, and nothing counts as lost.

  # Guards against removed files that come back and look like a lost file (review/10).
  Scenario: Removals that the power takes back leave a journal whole
    When 400 seeds write, remove and lose power in the files of a store
    Then all confirmed records are found, no removed one, and all files count as whole

  Scenario Outline: A store that lost <lost> does not count as whole
    When a store loses <lost>
    Then its files do not count as whole

    Examples:
      | lost                      |
      | its first needed file     |
      | a file between two others |

  Scenario: A folder of an earlier build is whole before and after a power loss
    Given a folder of an earlier build, with removals that may come back
    Then the store counts as whole at its next two starts, with a power loss between

  # Guards against a control process that does not start on a full disk.
  Scenario: A control journal opens on a full disk beside a file that has come back
    When 60 control journals with such a file are opened on a full disk
    And power is lost in the next write of each
    Then each can be opened again
