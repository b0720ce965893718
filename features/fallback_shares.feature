Feature: Instances admit a fallback share of each rate without its owner
  Callers keep sending requests while the owner of the rates is replaced or unreachable.

  Scenario Outline: Instances that are cut off stay within the tolerated excess
    Given 9 instances, and a customer of <rate> requests a second and burst <rate>
    When all admit what they can, and <cut> of them are cut off from the owner for 8 s
    Then no window of 5 s has more than rate and burst with the tolerated excess
    And at least <percent> in 100 of the rate are admitted while <cut> are cut off

    Examples:
      | rate | cut | percent |
      | 40   | 1   | 90      |
      | 40   | 4   | 75      |
      | 40   | 8   | 50      |
      | 40   | 9   | 45      |
      | 1000 | 4   | 75      |
      | 1000 | 8   | 50      |

  Scenario: An owner that is silent for 1.7 s delays few requests
    Given 9 instances, and a customer of 40 requests a second and burst 40
    When 25 requests a second come to instances at random while the owner is silent
    Then 55 in 100 are admitted within 0.3 s, over 20 seeds
    And 80 in 100 are admitted within 0.7 s, over 20 seeds
    And without fallback shares less than 45 in 100 are admitted

  Scenario: A rate too small to split is granted by its owner alone
    Given 64 instances, and a customer of 10 requests a second and burst 10
    Then no instance has a fallback share, and the owner grants the whole rate

  Scenario: An instance that has left still counts for a while
    Given a count of instances that falls from 9 to 5
    Then 9 are counted for 19 s, and 5 after 21 s

  Scenario: An instance without a member list yet has no fallback share
    Given 0 instances, and a customer of 40 requests a second and burst 40
    Then no instance has a fallback share, and the owner grants the whole rate

  Scenario Outline: A new leader grants soon after the former one, and never too much
    Given a customer of 40 requests a second and burst 40 whose owner leads until 10 s
    When another leads from 10 s, and all grants are spent as late as they may be
    Then under overload from <start> s on no window of 5 s has more than 240 requests
    And the new one grants within 0.5 s

    Examples:
      | start |
      | 0     |
      | 9     |
      | 10    |

  Scenario: Requests wait longer for their rate than for a silent owner
    Given an instance that waits 0.6 s for its rate, and 0.15 s for a silent owner
    When a request waits for an owner that does not answer
    Then it is refused within 0.3 s, since the owner is unreachable
    When a request waits for an owner that answers that units will be available
    Then it still waits after 0.5 s

  Scenario Outline: A request's log line can name what it was admitted by
    Given a gate whose owner <answer> for a customer of <rate> requests a second
    Then a request is admitted by "<admission>"

    Examples:
      | answer           | rate | admission             |
      | grants           | 40   | owner                 |
      | does not answer  | 40   | part of this instance |
      | does not answer  | 2    | tolerated excess      |
      | grants           | 0    | no rate               |

  Scenario: While the owner is silent, programs under way wait and none begins
    Given a gate whose owner is silent 3 times for a customer of a small rate
    Then a request of a program under way waits for it, and a start is refused
