Feature: A write that a backup didn't get is sent again, whatever else is written
  Backups take writes in order, so that all writes of a shard wait for a lost one.

  Scenario Outline: A lost write doesn't wait for a pause of the writes after it
    Given a shard of a primary and one backup, <delay> s apart
    When it is written each <interval> s and the third write is lost on its way
    Then that write is committed within 0.4 s
    And every write after it is committed too

    Examples:
      | interval | delay |
      | 0.5      | 0.0   |
      | 0.2      | 0.0   |
      | 0.1      | 0.0   |
      | 0.05     | 0.01  |

  Scenario: A write that is lost twice is sent a third time
    Given a shard of a primary and one backup, 0.0 s apart
    When it is written each 0.1 s and the third write is lost 2 times
    Then that write is committed within 0.7 s

  Scenario: Writes that are confirmed late but in turn are not sent again
    Given a shard of a primary and one backup, 0.1 s apart
    When it is written each 0.05 s and no write is lost
    Then no write was sent twice
