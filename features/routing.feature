Feature: Choice of the endpoint of a call
  Calls go to cached prefixes, load is spread, and bad endpoints are avoided.

  Scenario: A history goes back to the endpoint that holds its prefix
    Given a router of 5 endpoints
    When a routed history of 8000 tokens has run at "e3" and calls again
    Then the routed call runs at "e3"

  Scenario: A heavily loaded endpoint is not chosen, although it holds the prefix
    Given a router of 5 endpoints
    When a routed history of 8000 tokens has run at "e3" and calls again under a load of 60 calls there
    Then the routed call runs elsewhere than "e3"

  Scenario: All instances agree on the home of a history
    Given 9 routers of 5 endpoints
    When each router is asked for each of 200 new histories
    Then the routers agree on each history

  Scenario: The loss of an endpoint moves only the histories whose home it was
    Given a router of 10 endpoints
    When the homes of 1000 histories are compared before and after the loss of one endpoint
    Then only the routed histories of the lost endpoint have moved

  Scenario: A failing endpoint is ejected, and readmitted after probes once it has recovered
    Given a router of 5 endpoints
    When routed endpoint "e1" fails for 60 s
    Then the router has sent it at most 12 calls
    When the routed endpoint has recovered for 120 s
    Then the router has sent it more than 12 calls

  Scenario: Without ejection, a failing endpoint keeps getting calls
    Given a router of 5 endpoints that never ejects
    When routed endpoint "e1" fails for 60 s
    Then the router has sent it more than 12 calls

  Scenario: A slow endpoint is avoided, and tried again when it has recovered
    Given a router of 5 endpoints
    When routed endpoint "e1" is 20 times slower for 60 s
    Then the router has sent it at most 30 calls
    When the routed endpoint has recovered for 120 s
    Then the router has sent it more than 100 calls

  Scenario: A slow endpoint that holds the prefixes of its histories is ejected
    Given a router of 5 endpoints
    When all routed histories are cached at "e1", which is 20 times slower
    Then the router has ejected 1 endpoint

  Scenario: Endpoints are never all ejected
    Given a router of 4 endpoints
    When every routed endpoint fails for 60 s
    Then the router has ejected at most 2 endpoints at any time

  Scenario: A lost eviction event misleads the router for a bounded time
    Given a router of 5 endpoints
    When "e2" reports to the router that it stored a prefix, and the eviction event is lost
    Then the router expects the prefix there at first and no longer after 120 s

  Scenario: Late and repeated cache events are ignored
    Given a router of 5 endpoints
    When the router receives that a prefix was stored, evicted, and the first event again
    Then the router expects no copy of the prefix

  Scenario: No prefix is expected at an endpoint that restarted with an empty cache
    Given a router of 5 endpoints
    When "e2" reports to the router that it stored a prefix and then cleared its cache
    Then the router expects no copy of the prefix

  Scenario: The outcome of a call corrects a wrong entry of the prefix table
    Given a router of 5 endpoints
    When a routed history's call fails at an endpoint that held its prefix
    Then the router expects no copy of the prefix

  Scenario: Instances with the same stale report do not overload an idle endpoint
    Given 9 routers of 5 endpoints with shared windows of 32 places
    When each router receives a report that "e1" is idle and has 100 calls to place
    Then the routers together have placed at most 73 calls on "e1"

  Scenario: Without windows, instances with the same stale report overload an idle endpoint
    Given 9 routers of 5 endpoints with unlimited windows of 32 places
    When each router receives a report that "e1" is idle and has 100 calls to place
    Then the routers together have placed more than 73 calls on "e1"

  Scenario: Only endpoints with the wanted model and version are chosen
    Given a router of 3 endpoints of which "e1" alone has version "2" of a model
    When 50 routed calls want version "2"
    Then the router has used only "e1"
    When a routed call wants version "3"
    Then the router rejects the call

  Scenario: At equal load an endpoint in the own failure domain is preferred
    Given a router of 6 endpoints in 3 failure domains
    When 100 routed calls of a plain service run one after the other
    Then the router has used only endpoints of its own failure domain

  Scenario: A call that limits keep from the other endpoints does not wait for an ejected one
    Then with "e1" ejected, a call that may go only there is rejected at once if others are limited
