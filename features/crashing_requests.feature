Feature: A request that crashes the endpoints that run it is kept from them
  It comes again under other ids, at any instance. Ids differ; customer, path and body do
  not. What else ran on the endpoints that crashed is served.

  Scenario: One request crashes endpoint after endpoint
    Given a site with five tool servers that crash on "deadly"
    When the body "deadly" comes each 0.1 s at both instances for 8 s
    Then 3 s after the third crash at most 3 more such requests were sent
    And at most 6 servers crashed in all
    And the last 20 answers are 500 with code 1408 at once and without a time to come back
    And a request with the body "harmless" is served at both instances
    And a request of customer "key-two" with the body "deadly" is not refused with code 1408

  Scenario: A request that may run once is refused truly after it crashed three servers
    Given a site with five tool servers that crash on "deadly"
    When the body "deadly" comes at "/order/1" each 0.3 s at both instances for 3 s
    Then 3 s after the third crash at most 3 more such requests were sent
    And the last 3 answers are 500 with code 1408 at once and without a time to come back

  Scenario: Answers that break off without a crash refuse nobody
    Given a site with an engine that breaks each stream off
    When the body "sound" comes as a turn each 0.1 s at both instances for 2 s
    Then no answer has code 1408

  Scenario Outline: <deadly> such requests among <instances> instances crash few endpoints
    Then with <deadly> such requests, <instances> instances and <endpoints> endpoints at most 3 late sends come in each of <seeds> seeds

    Examples:
      | deadly | instances | endpoints | seeds |
      | 1      | 6         | 5         | 15    |
      | 2      | 9         | 5         | 10    |
      | 2      | 64        | 30        | 2     |

  Scenario: Nobody else is refused beside one such request
    Then with 1 such requests, 6 instances and 5 endpoints at most 0 others are refused in each of 15 seeds

  Scenario: Nobody else is refused beside two such requests at once
    Then with 2 such requests, 9 instances and 5 endpoints at most 0 others are refused in each of 10 seeds

  Scenario Outline: The bound holds while <fault>
    Then in each of 10 seeds at most 3 late sends come while <fault>

    Examples:
      | fault                                    |
      | all instances stop and start in turn     |
      | messages are lost, doubled and late      |
      | an instance is silent                    |

  Scenario: An instance that was cut off learns what is refused within the contact time
    Given 9 instances that know a request which crashed three endpoints, but for one cut off
    When the cut ends
    Then 3 s later every instance refuses the request

  Scenario: An instance that starts again learns what is refused within the contact time
    Given 9 instances that know a request which crashed three endpoints, but for one cut off
    When the cut ends
    And every instance stops and starts, one each 2 s
    Then 3 s later every instance refuses the request

  Scenario Outline: Crashes without a cause refuse nobody: <share> of the endpoints each <interval> s
    Then in each of 10 seeds nobody is refused while <share> of the endpoints crash each <interval> s

    Examples:
      | share | interval |
      | 0.2   | 1.0      |
      | 0.6   | 3.0      |
      | 1.0   | 2.0      |

  Scenario: An equal request that ends well elsewhere clears the suspicion
    Given an instance that refuses a request after three crashes
    When an equal request ends well at another instance
    Then the request is not refused at any instance
    And the old crashes, told again, do not count

  Scenario: A suspicion ends, and one more crash renews it for twice the time
    Given an instance that refuses a request after three crashes
    Then it is refused for 60 s after the last crash, and then not
    When it crashes one more endpoint
    Then it is refused for 120 s after the last crash, and then not
    And the suspicion is forgotten after another 120 s

  Scenario: What is known of suspects stays bounded though bodies vary
    Given an instance that refuses a request after three crashes
    When 5000 other requests are aboard crashes
    Then at most 512 suspects are known, and the request is still refused
    And no message tells of more than 64 suspects

  Scenario: Without crashes no message is sent
    Then 9 instances that serve requests for 10 s send no message

  Scenario: A peer of an earlier build is not sent what it does not know
    Given a peer that speaks version 0 of the protocol between instances
    When news of suspects and 3 pings are sent to it
    Then the 3 pings arrive over one connection, and nothing else

  Scenario: A message of a later build does not break the connection
    Then a batch with a message that this build does not know still brings its other messages

  Scenario: On the own interface, a question that crashes engines is refused
    Given six engines that crash on a question
    When the question is asked 12 times, and then 5 others are
    Then at most 6 engines crashed
    And the last 6 of the deadly answers are 422 with code 1408 and no time to come back
    And the others are answered

  Scenario: A variant of a request that crashes endpoints is refused after two crashes
    Given an instance that refuses a request after three crashes
    When another request of the same source crashes 2 endpoints
    And another request of another source crashes 2 endpoints
    Then only the one of the same source is refused

  Scenario: Two such requests at once are told from one that ran at crashes of both
    Then two such requests are told from one that ran at crashes of both

  Scenario Outline: On the own interface, a call that crashes its service is refused: <kind>
    Given a service that crashes on a call
    When the call comes 4 times, each <kind>, and then another one comes
    Then the service crashed 3 times
    And the last deadly call is refused with code 1408, and the other is answered

    Examples:
      | kind                  |
      | without a key         |
      | with a key of its own |
