Feature: The system runs on the users' platform
  Control, storage and entry instances find one another from seeds, and serve callers,
  servers and operators with the names and formats of the platform.

  Background:
    Given a site with three control instances, three stores and two entry instances

  Scenario: A safe request is forwarded unchanged, except for the headers of the system
    When a caller asks for "/tool/4b?q=1" with the key "key-one"
    Then the answer is 200 "done" with the server's signature
    And the server saw "/tool/4b" for customer "one" without the key

  Scenario: A request without a route, without a key or with an unknown key is refused
    When a caller asks for "/nowhere/4b" with the key "key-one"
    Then the answer is 404
    When a caller asks for "/tool/4b" with the key "wrong"
    Then the answer is 401
    When a caller asks for "/tool/4b" without a key
    Then the answer is 401

  Scenario: An instance that may lack an acknowledged route refuses as not run, without 404
    When instance 1 gets no control state for 3 s, and a route "/new/" is added meanwhile
    Then "/new/1" and "/nowhere/1" are answered 503 there with a retry-after header
    And "/tool/1" is answered 200 there
    When instance 1 gets the control state again
    Then "/new/1" is answered 200 there within 2 s
    And "/nowhere/1" is answered 404 there within 2 s

  Scenario: A caller of an instance that has just started waits for its configuration
    When instance 1 starts anew and a caller asks it at once for "/tool/1"
    Then the answer is 200

  Scenario: A request that a server reports as not run is sent to another server
    Given the first tool server refuses 2 requests as not run
    When a caller sends 2 orders to "/order/1" with the key "key-one"
    Then every answer is 200
    And no order ran twice

  Scenario: A success without the server's signature is not passed on as one
    # A program that is no server answered bookings at an address that the list showed.
    Given the servers leave out their signatures
    When a caller sends 2 orders to "/order/1" with the key "key-one"
    Then every answer is 502
    When a turn "t1" asks "one " at instance 1
    Then the answer is 502

  Scenario: A safe request whose success has no signature is sent to another server
    Given a caller has received 20 answers from "/tool/1"
    When the tool server that answered last leaves out its signature
    And a caller sends 8 requests to "/tool/1" with the key "key-one"
    Then the unsigned answer came, and every answer is 200
    And every answer has a server's signature

  Scenario: A safe request that is not answered is soon sent to another server
    Given a caller has received 20 answers from "/tool/1"
    When the tool server that answered last stops answering and 6 more requests are sent
    Then every answer is 200
    And no answer took longer than 1.0 s

  Scenario: A turn continues an earlier one at another instance and after a restart
    When a turn "t1" asks "one " at instance 1
    Then the turn is answered with 3 events
    When turn "t2" continues "t1" and asks "two " at instance 2
    Then the turn is answered with 3 events
    And the engine was sent "one w1\nw2\nw3\ntwo "
    When every store loses power and starts again
    And turn "t3" continues "t2" and asks "three " at instance 1 until it is not refused
    Then the engine was sent "one w1\nw2\nw3\ntwo w1\nw2\nw3\nthree "

  Scenario: A turn after an unknown turn or beyond its budget is refused before it runs
    When turn "t1" continues "never" and asks "one " at instance 1
    Then the answer is 404
    When turn "t2" with a budget of 5 tokens asks "one " at instance 1
    Then the answer is 402
    And the engine was sent nothing

  Scenario: A turn is refused at once while too few stores can confirm it
    When two stores have been stopped for 3 s
    And turn "t1" with a budget of 500 tokens asks "one " at instance 1
    Then the answer is 503
    And the answer took at most 100 ms and has a retry-after header
    And the engine was sent nothing

  Scenario: A stream that its server cuts off never looks complete to the caller
    Given the engine cuts its answers after 1 event
    When a turn "t1" asks "one " at instance 1
    Then the turn's answer is cut off
    When turn "t2" continues "t1" and asks "two " at instance 1
    Then the answer is 404

  Scenario: A request is cancelled at its server when the caller disconnects
    Given the engine takes 0.3 s for each event
    When a caller disconnects 0.4 s after it has begun a turn
    Then the engine's request is cancelled within 0.5 s

  Scenario: The configuration with the highest number is in force, a lower one changes nothing
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
      | fault              |
      | a truncated text   |
      | an unknown service |
      | a duplicate prefix |
      | no weight          |
      | no time-out        |
      | a shared key       |

  Scenario: A store is emptied only if enough others remain
    When the operator empties the store "nobody"
    Then the operator's call is answered 404
    When the operator empties the store "store-1"
    Then the operator's call is answered 409
    When a fourth store is added
    And the operator empties the store "store-1"
    Then the operator's call is answered 200
    And the store "store-1" is empty within 10 s

  Scenario: The directory lists the ready instances, but not those that are leaving
    Then the directory lists 2 instances within 3 s
    When instance 2 is stopped
    Then the directory lists 1 instance within 3 s

  Scenario: A draining server receives no new requests
    When the first tool server is draining
    Then it receives no request 2 s later

  Scenario: A planned stop under load cuts off no request that an endpoint has received
    Given every tool server takes 0.4 s for an answer
    When 12 callers keep asking over open connections until instance 1 has stopped
    Then every request that a tool server received was answered
    And at least 12 answers came after the stop began
