Feature: Stores return to service after losses of files and records
  A group of stores with enough disks left serves again, and no store waits for a record
  that no longer exists.

  # Guards against a group whose stores are all incomplete after removals (review/10).
  Scenario Outline: Turns go on after all stores lose power beside removals, seed <seed>
    Given three stores whose turns expire soon, seed <seed>
    When most turns have expired, and all stores lose power at the same time
    Then 3 stores are complete at once
    And the program that went on gets its chain after 0 s

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |

  # Guards against an incomplete group that waits for good for a complete store.
  Scenario: A group whose stores all miss records serves what is left
    Given three stores whose turns expire soon, seed 1
    When each store has several files, and another one of them is damaged at each
    Then 0 stores are complete at once
    And the program that went on gets its chain after 4 s
    And 3 stores are complete at once

  # Guards against keys that stores list without having the record (review/9).
  Scenario: A store lists only records that it holds, although it read one twice
    Given a store that has read a record twice from its files
    Then after each of 30 s its index lists only what it holds

  # Guards against a store that waits for good for an expired record (review/9).
  Scenario: A record that expired after it was listed holds up no copy
    Given a store that lost its disk, and two that no longer have a record they list
    When they answer for 4 s that they no longer have it
    Then the store is complete

  # Guards against questions without a pause (review/9).
  Scenario: Stores of an earlier build are asked for an expired record with pauses
    Given a store that lost its disk, and two that no longer have a record they list
    When they answer for 4 s without a word about it
    Then the store has asked at most 60 times

  # Guards against records that are asked of a silent store again and again.
  Scenario: A store that falls silent after it has listed a record holds up no copy
    Given a store that lost its disk, and two that list a record, one of them silent
    When they answer for 4 s without a word about it
    Then the store has the record

  # Guards against questions that multiply, whose answers fill the memory (LOST).
  Scenario: Each store is asked for records once at a time, whatever it lists meanwhile
    Given a store that lost its disk, and two that list new records all the time
    When they answer for 4 s without a word about it
    Then at most 2 questions for records were open at a time

  # Guards against copies that come faster than the disk takes them (LOST).
  Scenario: A store asks for no further records while much waits for its disk
    Given a store that lost its disk, and two that list new records all the time
    When 5 MB of records wait for its disk, and they answer for 4 s
    Then the store has asked for no record
