Feature: Endpoints that name a rate limit get no more than that from all instances
  An endpoint in need names in its answers how many requests a second it takes from all
  instances together. What is over it goes to other endpoints, or is refused at once.

  Scenario: A limited endpoint gets no more than its limit from two instances
    Given a site with three control instances, three stores and two entry instances
    And the first tool server names a limit of "2"
    When 40 requests a second come at both instances for 8 s
    Then after 3 s the first tool server gets at most 17 requests in 4 s
    And the first tool server was sent at least 10 requests
    And every answer of the load is 200
    When the first tool server names a limit of ""
    And 40 requests a second come at both instances for 4 s
    Then the first tool server was sent at least 20 requests of the load
    And every answer of the load is 200

  Scenario: What is over the limits of all endpoints is refused at once as not run
    Given a site with three control instances, three stores and two entry instances
    And every tool server names a limit of "1"
    When 40 requests a second come at both instances for 8 s
    Then after 3 s the first tool server gets at most 11 requests in 4 s
    And the answers of the load are 200, or 503 with code 1407 and a time to come back
    And at least 8 answers of the last 4 s are 200

  Scenario Outline: The header's value <values> names <rate>
    Then an answer with the limits "<values>" names the rate "<rate>"

    Examples:
      | values  | rate |
      | none    | none |
      | 6.25    | 6.25 |
      | 3       | 3.0  |
      | 0       | 0.0  |
      | 8,2.5   | 2.5  |
      | soon    | none |
      | -1      | none |
      | nan     | none |
      | soon,4  | 4.0  |

  Scenario Outline: <instances> instances together keep <rate> a second, and use it
    Given <instances> instances that share an endpoint
    When <load> requests a second come for 2 s
    And the endpoint names a limit of <rate> a second
    And <load> requests a second come for 20 s
    Then from 3 s on no 4 s have more requests than the limit allows
    And from 3 s on at least 0.8 of the limit is used
    And at most 3 messages were sent for each request

    Examples:
      | instances | rate | load |
      | 6         | 5    | 40   |
      | 6         | 1    | 40   |
      | 200       | 1    | 20   |
      | 200       | 1    | 200  |
      | 200       | 6    | 400  |

  Scenario: The limit holds while 200 instances stop and start in turn
    Given 200 instances that share an endpoint
    And the endpoint names a limit of 1 a second
    When all instances stop and start, one each 0.1 s
    And 100 requests a second come for 24 s
    Then from 3 s on no 4 s have more requests than the limit allows
    And from 3 s on at least 0.8 of the limit is used

  Scenario: The limit holds while the leader of the control state changes
    Given 200 instances that share an endpoint
    And the endpoint names a limit of 2 a second
    When the leader changes at 6 s, 7 s and 12 s
    And 100 requests a second come for 20 s
    Then from 3 s on no 4 s have more requests than the limit allows
    And from 3 s on at least 0.5 of the limit is used

  Scenario: A limit that goes is forgotten by all instances
    Given 200 instances that share an endpoint
    And the endpoint names a limit of 1 a second
    When 100 requests a second come for 8 s
    And the endpoint names no limit
    And 100 requests a second come for 5 s
    And 100 requests a second come for 5 s
    Then the last 5 s had no refusal

  Scenario: The messages grow with the requests, not with instances times endpoints
    Given 200 instances that share 100 endpoints
    And every endpoint names a limit of 1 a second
    When 50 requests a second come for 10 s
    Then at most 3 messages were sent for each request

  Scenario: An instance that was paused uses no permit that came before
    Given a holder that has asked for a permit of a limited endpoint
    When the grant is handled 0.2 s after it was asked for
    Then the request is not permitted

  Scenario: Without an answer of the owner, an instance uses its share of the rate
    Given 2 instances that share an endpoint
    And the endpoint names a limit of 4 a second
    When 40 requests a second come for 4 s
    And no control instance runs any more
    And 40 requests a second come for 8 s
    Then from 3 s on no 4 s have more requests than the limit allows
    And the last 4 s had at least 8 requests at the endpoint

  Scenario: The limit holds through drawn messages, rolls, leaders and cuts
    When the limits run through 60 drawn seeds from 1
    Then no run had more requests at an endpoint than its limit allows

  Scenario: On the own interface, a limited engine gets no more than its limit
    When 120 questions come at 20 a second to two engines, of which one takes 2 a second
    Then after 3 s the limited engine gets at most 17 requests in 4 s
    And the limited engine was asked at least 6 times
    And every question is answered

  Scenario: On the own interface, what is over the limits of all engines is refused at once
    When 100 questions come at 20 a second to two engines, of which both take 1 a second
    Then after 3 s the limited engine gets at most 11 requests in 4 s
    And each question is answered, or refused with code 1407 within 1 s
    And at least 6 questions are answered
