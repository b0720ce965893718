Feature: An operator evacuates a failure domain
  From 5 s after the order is acknowledged, no connected instance sends a request to an
  endpoint of the domain, until the order is revoked.

  Scenario: An evacuated domain gets no request until the order is revoked
    Given a site whose tool servers are in the domains a and b
    Given requests reach the domain b within 5 s
    When the order "b/start" is sent, and again as if its response was lost
    Then both are acknowledged within 5 s
    And no request reaches the domain b, and every caller is answered 200
    And the audit trail names the operator and the document of the order
    When the order "b/end" is sent, and again as if its response was lost
    Then both are acknowledged within 5 s
    And requests reach the domain b within 5 s
    And the document says when the evacuation of b ended

  Scenario: An end before any start is acknowledged and changes nothing
    Given a site whose tool servers are in the domains a and b
    When the order "b/end" is sent, and again as if its response was lost
    Then both are acknowledged within 5 s
    And nothing is stored

  Scenario: An order for an unknown domain is refused with a number, and changes nothing
    Given a site whose tool servers are in the domains a and b
    When the order "elsewhere/start" is sent, and again as if its response was lost
    Then both are refused with 404, code 2021 and the name "elsewhere"
    And nothing is stored

  Scenario: An instance that does not lead names the leader
    Given a site whose tool servers are in the domains a and b
    When the order "b/start" is sent to an instance that does not lead
    Then it is redirected to the leader

  Scenario: Without an endpoint left, a request is refused at once as not run
    Given a site whose tool servers are in the domains a and b
    When the order "a/start" is sent, and again as if its response was lost
    And the order "b/start" is sent, and again as if its response was lost
    Then a request is refused within 0.2 s as not run, with a time to come back

  Scenario: A slow answer is awaited where an evacuation leaves no other endpoint
    Given a site whose tool servers are in the domains a and b
    When the order "b/start" is sent, and again as if its response was lost
    And the servers have become slower, from 0.05 s to 1 s for an answer
    Then no request reaches the domain b, and every caller is answered 200

  Scenario: A request that waits for its connection when the order comes goes elsewhere
    Given a site whose tool servers are in the domains a and b
    When the order "b/start" comes while requests wait for connections to b
    Then no request reaches the domain b, and every caller is answered 200

  Scenario: The leader dies between accepting an order and distributing it
    Given a site whose tool servers are in the domains a and b
    When the leader accepts an order for b and dies at once
    Then every instance obeys the order within 5 s
    And no request reaches the domain b, and every caller is answered 200

  Scenario: An acknowledged order survives a stop of every instance at once
    Given a site whose tool servers are in the domains a and b
    When the order "b/start" is sent, and again as if its response was lost
    And every instance stops at once and starts again
    Then no request reaches the domain b, and every caller is answered 200

  Scenario: An instance that was cut off when the order came obeys it once connected
    Given a site whose tool servers are in the domains a and b
    When instance 1 is cut off, and the order "b/start" is acknowledged
    And instance 1 is connected again
    Then instance 1 obeys the order within 4 s

  Scenario: Of eight orders at once none is lost
    Given a site whose tool servers are in the domains a and b
    When eight domains are evacuated at the same time, one of them by two orders
    Then each of them is evacuated

  Scenario: Two orders at once that empty stores are both in force
    Given a site whose tool servers are in the domains a and b
    When there are five stores and two in use are emptied at the same time
    Then each of the two is being emptied

  Scenario: On the own interface, the engine's domain is evacuated by a command
    Given a fleet site of one control instance and two entries
    When an unknown domain and the engine's are evacuated, and then used again
    Then the orders led to the codes 2021, 1401 and 200
    And the status of an entry named the domain and the operator meanwhile
