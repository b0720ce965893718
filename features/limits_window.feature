Feature: Rate and burst counted over a window
  Programs send dozens of requests within a second and then pause. A customer below
  rate x window + burst in every window keeps them, and no window has more.

  Scenario: The requests of a program at once are admitted
    Given limits counted over 5 s on 6 instances for a customer with rate 6 and burst 6
    When the limits are idle for 10 s
    And 24 limited requests come at once, spread over all instances
    And the limits are idle for 1 s
    Then the limits have admitted from 24 to 24 requests

  Scenario: Without the window, a bucket of the plain burst refuses most of them
    Given limits on 6 instances for a customer with rate 6 and burst 6
    When the limits are idle for 10 s
    And 24 limited requests come at once, spread over all instances
    And the limits are idle for 1 s
    Then the limits have admitted from 6 to 12 requests

  Scenario Outline: Under <load> times the rate, no window has more than it allows
    Given limits counted over 5 s on 6 instances for a customer with rate 6 and burst 6
    When the limits are idle for 10 s
    And requests come at <load> times the rate in groups of <group> for 20 s
    Then no window of 5 s has more than 36 requests
    And the limits have admitted from <least> to 160 requests

    Examples:
      | load | group | least |
      | 1    | 12    | 100   |
      | 4    | 1     | 120   |
      | 4    | 12    | 120   |

  Scenario: A change of the owner keeps within the tolerated excess
    Given limits counted over 5 s on 6 instances for a customer with rate 6 and burst 6
    When the limits are idle for 10 s
    And requests come at 4 times the rate in groups of 12 for 20 s
    And meanwhile the limits' owner crashes each 3 s
    Then no window of 5 s has more than 59 requests

  Scenario: A rate that instances may admit in part by themselves keeps its burst
    Given an allowance over 5 s with a tenth and 20 requests of excess
    Then the burst of rate 40 and burst 40 over 9 instances stays 40
    And the burst of rate 6 and burst 6 over 64 instances becomes 29
    And the burst of rate 6 and burst 6 over no known instances stays 6

  Scenario: Enlarged limits hold through drawn faults
    When limits counted over a window run through drawn faults for 150 seeds from 1
    Then no window of any limits run had a request in excess

  Scenario: The cap of a window holds through drawn faults of messages and clocks
    When limits counted over a window run through message faults for 150 seeds from 1
    Then no window of any limits run had a request in excess
