Feature: What is acknowledged survives the tolerated losses from the first start on
  The seeds are the first voters, and a leader commits nothing while its voters don't
  bear the losses.

  Scenario Outline: The first configuration outlives the disk that acknowledged it
    When the instance that acknowledged the first configuration loses its disk <also>
    Then the founded fleet holds what it acknowledged

    Examples:
      | also                          |
      | alone                         |
      | while all others lose power   |

  Scenario Outline: A fleet comes up though its lowest seed has lost its disk early
    When the lowest seed loses its disk <after_s> s after its start
    Then the founded fleet holds what it acknowledged

    Examples:
      | after_s |
      | 0.1     |
      | 0.31    |
      | 0.4     |

  Scenario Outline: A fleet with few control instances acknowledges changes
    When <instances> control instances start that tolerate <losses> losses
    Then the founded fleet holds what it acknowledged

    Examples:
      | instances | losses |
      | 1         | 0      |
      | 1         | 1      |
      | 2         | 0      |
      | 2         | 1      |
      | 3         | 0      |
      | 3         | 2      |
      | 4         | 2      |

  Scenario: A seed that starts late is awaited for 2.5 s, and is one of the losses after that
    When the third seed of a fleet starts 6 s after the others, and a disk is lost later
    Then the founded fleet holds what it acknowledged

  Scenario Outline: A fleet acknowledges changes though a control instance never starts
    When <instances> control instances that tolerate <losses> losses start without seed <seed>
    Then the first change is acknowledged within 4.5 s of the start
    And the founded fleet holds what it acknowledged

    Examples:
      | instances | losses | seed |
      | 3         | 1      | 1    |
      | 3         | 1      | 3    |
      | 5         | 2      | 3    |
      | 5         | 1      | 2    |

  Scenario Outline: A later election costs a fleet of few control instances no wait
    When the leader of <instances> control instances that tolerate <losses> losses is killed
    Then changes are acknowledged again within 2.5 s

    Examples:
      | instances | losses |
      | 3         | 2      |
      | 4         | 2      |

  Scenario: The operator is refused with 503 and Retry-After until the voters suffice
    Given a site whose third control instance has not started
    Then a configuration is refused with 503 and Retry-After, as not made
    And it is accepted once the third control instance has started

  Scenario: Seeds 0 to 99 of first starts, lost disks and power, and new machines
    When fleets are founded with "losses" from seeds 0 to 99
    Then the founded fleets hold what they acknowledged

  Scenario: Seeds 0 to 79 of disks lost while another instance is cut off
    When fleets are founded with "overlaps" from seeds 0 to 79
    Then the founded fleets hold what they acknowledged

  Scenario Outline: Without <protection> a first start fails
    Then one of 100 founded fleets fails without <protection>

    Examples:
      | protection                |
      | wait for voters           |
      | voters known to exist     |
      | all seeds as first voters |
