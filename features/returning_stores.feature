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
