Feature: A stream goes on at the software version that began it
  Endpoints of several versions serve side by side. What two versions write does not fit
  together, so a stream that a caller takes up goes on at the version that began it, or
  is refused as not run.

  Scenario: A broken stream is taken up at another instance only at the version that began it
    Given a site whose engines are of versions "v1 v1 v2 v2 v2"
    When 12 streams break off at an engine of version "v1" and are taken up elsewhere
    Then every stream that went on did so at the version that began it
    And every stream went on with its next event

  Scenario: A broken stream of a split route is taken up only at the service that began it
    Given a site with two engines of "engines" and two of "trial-engines"
    When 12 streams of the split route break off and are taken up elsewhere
    Then every stream that went on did so at the service that began it
    And every stream went on with its next event

  Scenario: A stream without a server of its version is refused as not run
    Given a site whose engines are of versions "v1 v2 v2"
    When 3 streams break off at an engine of version "v1" and are taken up elsewhere
    Then every taker is refused with 503, code 1406 and a time to come back
    And no engine of version "v2" was sent a taker's request

  Scenario: A stream is taken up after the instance that began it has gone
    Given a site whose engines are of versions "v1 v1 v2 v2"
    When a stream breaks off at version "v1", and instance 1 is killed before it is taken up
    Then every stream that went on did so at the version that began it
    And every stream went on with its next event

  Scenario: While two engines of the version serve, streams are taken up as often as new ones begin
    Given a site whose engines are of versions "v1 v1 v2 v2 v2"
    When 24 streams break off, of engines that refuse each third request
    Then the share of streams taken up is at least 0.9 of the share of new ones that begin
    And every stream that went on did so at the version that began it

  Scenario: Streams are taken up while a release replaces the version that began them
    Given a site whose engines are of versions "v1 v1 v1 v2"
    When a stream breaks off before each step of a release to "v2"
    Then every stream that went on did so at the version that began it
    And streams went on until the last engine of "v1" had gone, and none after

  Scenario: An instance that is cut off from the stores takes up no stream
    Given a site whose engines are of versions "v1 v1 v2 v2"
    When a stream breaks off at version "v1", and instance 2 is cut off from two stores
    Then every taker is refused with 503 and a time to come back
    And no engine of version "v2" was sent a taker's request

  Scenario: A stream without a program is taken up at the version that began it
    Given a site whose engines are of versions "v1 v1 v2 v2"
    And callers whose requests belong to no program
    When 6 streams break off at an engine of version "v1" and are taken up elsewhere
    Then every stream that went on did so at the version that began it
    And every stream went on with its next event

  Scenario: A stream whose beginning no store knows is not continued at a guess
    Given a site whose engines are of versions "v1 v2"
    When a stream breaks off at version "v1", and every store starts again before it is taken up
    Then every taker is refused with 503, code 1406 and a time to come back

  Scenario: A stream that names no request is not continued at a guess
    Given a site whose engines are of versions "v1 v2"
    When a stream is taken up without naming the request that began it
    Then every taker is refused with 503, code 1406 and a time to come back

  Scenario: A stream that names no request goes on where one version serves
    Given a site whose engines are of versions "v1 v1"
    And each service has had its versions for longer than a stream lasts
    When a stream is taken up without naming the request that began it
    Then every stream went on with its next event

  Scenario: A stream that names no request is not continued at the version that is left
    Given a site whose engines are of versions "v1 v2 v2"
    And each service has had its versions for longer than a stream lasts
    When a stream breaks off at version "v1", which leaves, and is taken up without naming the request that began it
    Then every taker is refused with 503, code 1406 and a time to come back

  Scenario: Instances that start after a version has left do not continue its streams
    Given a site whose engines are of versions "v1 v2 v2"
    When a stream breaks off at version "v1", which leaves, all entry instances are killed, and it is taken up without naming the request that began it
    Then every taker is refused with 503, code 1406 and a time to come back

  Scenario: Streams of two versions are taken up after all entry instances were killed
    Given a site whose engines are of versions "v1 v1 v2 v2"
    When a stream breaks off at version "v1", and all entry instances are killed before it is taken up
    Then every stream that went on did so at the version that began it
    And every stream went on with its next event

  Scenario: Instances that just started go on at once where one version has long served
    Given a site whose engines are of versions "v1 v1"
    And each service has had its versions for longer than a stream lasts
    When a stream breaks off at version "v1", and all stores and entry instances are killed before it is taken up
    Then every stream went on with its next event

  Scenario: A stream of a split route that names no request is not continued at a guess
    Given a site with two engines of "engines" and two of "trial-engines"
    And each service has had its versions for longer than a stream lasts
    When a stream of the split route breaks off and is taken up without naming the request that began it
    Then every taker is refused with 503, code 1406 and a time to come back

  Scenario Outline: An instance that missed a new version's list does not go on at the old one
    Given a site whose engines are of version "v1", and one of version "v2" that joins later
    And each service has had its versions for longer than a stream lasts
    When instance 2 gets <missed>, and a stream that begins at "v2" meanwhile is taken up there without naming its beginning
    Then every taker is refused with 503, code 1406 and a time to come back

    Examples:
      | missed                             |
      | no list of endpoints               |
      | nothing from the control instances |

  Scenario Outline: The place where a stream may go on
    Given a route to the services "a b" whose shares give a stream to "a"
    When the stores know the place "<recorded>" and "a" has long had "<sole>"
    Then the stream goes on at "<place>"

    Examples:
      | recorded | sole    | place       |
      | a v1     | several | a v1        |
      | a v1     | v2      | a v1        |
      | b v1     | v2      | b v1        |
      | c v1     | v1      | nowhere     |
      | nothing  | v2      | a v2        |
      | nothing  | several | nowhere     |
      | a empty  | v2      | a v2        |
      | b empty  | v2      | nowhere     |
      | nothing  | empty   | a empty     |

  Scenario: A service has one version only from the time when the last other one has gone
    Given a follower whose list shows "v1 v2" from 0 s and "v1" from 10 s
    Then at 15 s the only version since 10 s is "v1"
    And at 15 s there is no only version since 9 s
    And at 30 s there is no only version since 10 s

  Scenario: An instance that just started learns from the leader since when a version is the only one
    Given a leader of term 1 whose list shows "v1 v2" from 0 s and "v2" from 10 s
    When an instance starts at 30 s
    Then at 30 s the only version since 10 s is "v2"
    And at 30 s there is no only version since 9 s

  Scenario: A new leader does not vouch for the time before its term
    Given a leader of term 1 whose list shows "v2" from 0 s and "v2" from 10 s
    When another instance leads term 2 from 20 s
    And an instance starts at 30 s
    Then at 30 s the only version since 20 s is "v2"
    And at 30 s there is no only version since 19 s

  Scenario: An instance that missed a list does not rely on the time before it
    Given a follower whose list shows "v1" from 0 s and "v1" from 10 s
    When the follower gets list 23 with v1 at 22 s
    Then at 22 s the only version since 22 s is "v1"
    And at 22 s there is no only version since 21 s

  Scenario: A request that is sent to another version than predicted records it first
    Given a request of a resumable route for which version "v1" was predicted
    When its binding records the versions "v1 v2 v2 v1" before each attempt
    Then the stores were told "v2 1" and then "v1 2"
