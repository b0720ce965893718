Feature: Instances admit a part of each rate without its owner
  The owner of the rates may be replaced or unreachable while callers go on.

  Scenario Outline: Instances that are cut off stay within the tolerated excess
    Given 9 instances, and a customer of <rate> requests a second and burst <rate>
    When all admit what they can, and <cut> of them are cut off from the owner for 8 s
    Then no window of 5 s has more than rate and burst with the tolerated excess
    And what is admitted while <cut> are cut off is at least <percent> in 100 of the rate

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
    And without parts of their own less than 45 in 100 would be

  Scenario: A customer whose rate is too small to be parted has its owner alone
    Given 64 instances, and a customer of 10 requests a second and burst 10
    Then no instance has a part, and the owner has the whole rate

  Scenario: An instance that is gone counts for a while
    Given a count of instances that falls from 9 to 5
    Then 9 are counted for 19 s, and 5 after 21 s

  Scenario: An instance that knows no other yet admits nothing by itself
    Given 0 instances, and a customer of 40 requests a second and burst 40
    Then no instance has a part, and the owner has the whole rate

  Scenario Outline: A new leader grants soon after a former one, and never too much
    Given a customer of 40 requests a second and burst 40 whose owner leads until 10 s
    When another leads from 10 s, and all grants are spent as late as they may be
    Then no window of 5 s from <press> s on has more than 240 requests
    And the new one grants within 0.5 s

    Examples:
      | press |
      | 0     |
      | 9     |
      | 10    |

  Scenario: Requests wait longer for their rate than for an owner that is silent
    Given an instance that waits 0.6 s for its rate, and 0.15 s for a silent owner
    When a request waits for an owner that answers nothing
    Then it is refused within 0.3 s, since the owner is unreachable
    When a request waits for an owner that says when units come in
    Then it still waits after 0.5 s

  Scenario Outline: A request's line can say by what it was admitted
    Given a gate whose owner <answer> for a customer of <rate> requests a second
    Then a request is admitted by "<admission>"

    Examples:
      | answer           | rate | admission             |
      | grants           | 40   | owner                 |
      | does not answer  | 40   | part of this instance |
      | does not answer  | 2    | tolerated excess      |
      | grants           | 0    | no rate               |
