Feature: The system runs on the users' platform
  Control, storage and entry instances find one another from seeds; callers, servers
  and operators are spoken to as the platform's pages say.

  Background:
    Given a site with three control instances, three stores and two entry instances

  Scenario: A safe request is passed on unchanged but for what the system sets
    When a caller asks for "/tool/4b?q=1" with the key "key-one"
    Then the answer is 200 "done" with the server's signature
    And the server saw "/tool/4b" for customer "one" without the key

  Scenario: A request without a route, without a key or with a wrong one is refused
    When a caller asks for "/nowhere/4b" with the key "key-one"
    Then the answer is 404
    When a caller asks for "/tool/4b" with the key "wrong"
    Then the answer is 401
    When a caller asks for "/tool/4b" without a key
    Then the answer is 401

  Scenario: What a server says it did not run goes to another one
    Given the first tool server refuses 2 requests as not run
    When a caller sends 2 orders to "/order/1" with the key "key-one"
    Then every answer is 200
    And no order ran twice

  Scenario: A safe request whose answer does not come is soon asked for elsewhere
    Given a caller has had 20 answers from "/tool/1"
    When the tool server that answered last falls silent and 6 more are asked for
    Then every answer is 200
    And none took longer than 1.0 s

  Scenario: A turn continues another one at another instance, and after a restart
    When a turn "t1" asks "one " at instance 1
    Then the turn is answered with 3 events
    When turn "t2" continues "t1" and asks "two " at instance 2
    Then the turn is answered with 3 events
    And the engine was sent "one w1\nw2\nw3\ntwo "
    When every store loses power and starts again
    And turn "t3" continues "t2" and asks "three " at instance 1
    Then the engine was sent "one w1\nw2\nw3\ntwo w1\nw2\nw3\nthree "

  Scenario: An unknown turn and a spent budget are refused before they run
    When turn "t1" continues "never" and asks "one " at instance 1
    Then the answer is 404
    When turn "t2" with a budget of 5 tokens asks "one " at instance 1
    Then the answer is 402
    And the engine was sent nothing

  Scenario: A turn that too few stores can vouch for is refused at once
    When two stores are gone for 3 s
    And turn "t1" with a budget of 500 tokens asks "one " at instance 1
    Then the answer is 503
    And it came within 100 ms and says when to come back
    And the engine was sent nothing

  Scenario: A stream that its server cuts never looks complete
    Given the engine cuts its answers after 1 event
    When a turn "t1" asks "one " at instance 1
    Then the turn's answer is broken off
    When turn "t2" continues "t1" and asks "two " at instance 1
    Then the answer is 404

  Scenario: A caller who leaves stops the work at the server
    Given the engine takes 0.3 s for each event
    When a caller leaves 0.4 s after it has begun a turn
    Then the engine's work is stopped within 0.5 s

  Scenario: The highest configuration is in force, others are acknowledged or refused
    When the operator sends configuration 8 without the route "/tool/"
    Then the operator's call is answered 200
    And "/tool/4b" is answered 404 within 2 s
    When the operator sends configuration 7 with every route
    Then the operator's call is answered 200
    And "/tool/4b" is answered 404 within 2 s
    When the operator reads the configuration
    Then the operator's call is answered 200 with version 8

  Scenario Outline: A configuration that is invalid is refused
    When the operator sends a configuration with <fault>
    Then the operator's call is answered 400

    Examples:
      | fault               |
      | a cut end           |
      | an unknown service  |
      | a place taken twice |
      | no weight           |
      | no time-out         |
      | a key shared        |

  Scenario: A store is emptied only where enough are left
    When the operator empties the store "nobody"
    Then the operator's call is answered 404
    When the operator empties the store "store-1"
    Then the operator's call is answered 409
    When a fourth store is added
    And the operator empties the store "store-1"
    Then the operator's call is answered 200
    And the store "store-1" is empty within 10 s

  Scenario: The directory names the instances that are ready, and a leaving one no more
    Then the directory names 2 instances within 3 s
    When instance 2 is stopped
    Then the directory names 1 instance within 3 s

  Scenario: A leaving server receives nothing new
    When the first tool server leaves
    Then it receives no request 2 s later
