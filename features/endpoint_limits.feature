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
