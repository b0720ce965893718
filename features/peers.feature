Feature: Connections between instances
  A connection that goes silent is replaced, and messages arrive again.

  Scenario: An open connection between instances goes silent permanently
    Given two instances that exchange messages over a path
    When their open connection goes silent and messages continue to be sent
    Then a message arrives over a new connection within the silence bound

  Scenario: An instance restarts at the same address
    Given two instances that exchange messages over a path
    When the listening instance restarts and messages continue to be sent
    Then a message arrives over a new connection within the silence bound

  Scenario: A port that another process has reserved is not chosen
    Given 4 ports of which another process has reserved 3
    Then the chosen address has the fourth port

  Scenario: A machine that is off is tried again before the silence bound
    Given a link to a machine that answers no connection, with a silence bound of 1 s
    When a message waits for 0.6 s
    Then at least 2 connections were tried

  Scenario: A peer that is heard is connected to at once, whatever attempt hangs
    Given a link to a machine that answers no connection, with a silence bound of 1 s
    When a message waits for 0.8 s, and the peer is heard after 0.6 s
    Then a connection was tried within 0.05 s of that

  Scenario Outline: An immediate answer costs <batches> batches, to a build that <reads>
    Given two instances, of which the sender's build <reads>
    When it sends 5 questions, one after another
    Then each is answered, and the answers took <batches> batches of their own

    Examples:
      | reads                                    | batches |
      | reads messages in acknowledgements       | 0       |
      | knows only the count of acknowledgements | 5       |

  # Guards against days given up for processor time: each answer of a store took a batch
  # and an acknowledgement of its own.
  Scenario Outline: An answer that follows a write of <write_s> s costs <batches> batches
    Given two instances, of which the sender's build reads messages in acknowledgements
    When it sends 5 questions that are answered after <write_s> s, one after another
    Then each is answered, and the answers took <batches> batches of their own

    Examples:
      | write_s | batches |
      | 0.002   | 0       |
      | 0.2     | 5       |

  Scenario Outline: Large messages for an instance that is down don't fill the memory
    When 100 messages of <size> bytes wait for an instance that is down
    Then at most 10 MB of them wait, the latest one among them

    Examples:
      | size    |
      | 1000    |
      | 1280000 |
      | 4194304 |

  Scenario: Small messages for an instance that is down are bounded in number
    When 5000 messages of 10 bytes wait for an instance that is down
    Then 4096 of them wait, the latest one among them

  Scenario Outline: Large messages arrive over a link that carries none within the silence bound
    Given a path that carries 15 Mbit/s, and a silence bound of 1 s
    When <count> messages of <size> bytes are sent at once
    Then each arrives within 8 s, over one connection

    Examples:
      | count | size    |
      | 1     | 4194304 |
      | 6     | 1280000 |

  Scenario: An answer does not overtake what was sent before it
    Given a path that carries 15 Mbit/s, and a silence bound of 1 s
    When a message of 2000000 bytes is on its way to an instance that then asks something
    Then that message arrives before the answer

  Scenario: An instance that starts again is answered at once, whatever hangs to its former process
    Given an instance whose connection hangs with messages on their way
    When it starts again and asks something
    Then it is answered within 0.5 s
