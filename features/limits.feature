Feature: Rate and burst over all instances
  Each customer has one bucket, at the primary of its shard, which grants units to the
  instances.

  Scenario: Limits admit a whole burst and the rate over all instances
    Given limits on 6 instances for a customer with rate 10 and burst 20
    When the limits are idle for 4 s
    And 40 limited requests come at once, spread over all instances
    And the limits are idle for 1 s
    Then the limits have admitted from 20 to 24 requests
    And each limits refusal came within 0.6 s and has a time to retry after
    And no window of the limits had a request in excess

  Scenario: Limits of an idle instance are returned for the others
    Given limits on 6 instances for a customer with rate 10 and burst 20
    When the limits are idle for 4 s
    And instance 2 asks for 10 limited requests a second for 1 s
    And the limits are idle for 3 s
    And 20 limited requests come at once at instance 3
    And the limits are idle for 1 s
    Then the limits of instance 3 have refused none of its requests

  Scenario: Limits under overload from one instance leave a share to another
    Given limits on 6 instances for a customer with rate 20 and burst 20
    When instance 2 asks for 80 limited requests a second for 10 s
    And meanwhile instance 3 asks for 4 limited requests a second for 10 s
    Then the limits of instance 3 have refused at most 2 of its requests
    And no window of the limits had a request in excess

  Scenario: Limits of a cut-off instance end when its grants are spent
    Given limits on 6 instances for a customer with rate 50 and burst 100
    When instance 2 asks for 40 limited requests a second for 3 s
    And instance 2 is cut off from the limits' owner for 3 s under the same load
    Then the limits of instance 2 have admitted at most 60 requests while cut off
    And its limits refusals have the reason that the owner is unreachable
    And no window of the limits had a request in excess

  Scenario: Limits recover from the loss of their owner
    Given limits on 6 instances for a customer with rate 50 and burst 100
    When instance 2 asks for 20 limited requests a second for 3 s
    And the limits' owner crashes under the same load for 6 s
    Then the limits admit again within 3 s of the crash
    And no window of the limits had a request in excess

  Scenario: Limits don't let small costs starve a large one
    Given limits on 6 instances for a customer with rate 20 and burst 20
    When instance 2 asks for 80 limited requests a second for 10 s
    And meanwhile instance 3 asks for one limited request of cost 5 each 2 s for 10 s
    Then the limits of instance 3 have admitted at least 3 of its requests

  Scenario: Limits refuse a cost above the burst at once
    Given limits on 3 instances for a customer with rate 10 and burst 2
    When the limits are idle for 4 s
    And instance 2 asks for a limited request of cost 3
    Then the limits refuse it with reason "COST_ABOVE_BURST"

  Scenario: Limits apply a higher and a lower rate within seconds
    Given limits on 6 instances for a customer with rate 10 and burst 10
    When instance 2 asks for 100 limited requests a second for 5 s
    And the limits change to rate 40 and burst 10
    And instance 2 asks for 100 limited requests a second for 5 s
    And the limits change to rate 5 and burst 2
    And instance 2 asks for 100 limited requests a second for 5 s
    Then the limits have admitted from 200 to 300 requests
    And no window of the limits had a request in excess
