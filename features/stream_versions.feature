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
