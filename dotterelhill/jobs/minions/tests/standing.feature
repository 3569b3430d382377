Feature: records of machines, and the few runs that those on probation get

  Background:
    Given 8 minions of 4 processors with speed placement

  Scenario Outline: a machine looks bad by chance, or looks good although it is bad
    Given a machine with "<events>", where <usual> of the runs elsewhere fail
    Then its fault is "<fault>"

    Examples:
      | events                            | usual | fault     |
      | 3 done 3 failed                   | 0.1   | runs fail |
      | 3 done 3 failed                   | 0.4   | none      |
      | 2 failed                          | 0.0   | none      |
      | 30 done 3 failed                  | 0.0   | none      |
      | 3 left                            | 0.0   | goes away |
      | 2 left                            | 0.0   | none      |
      | 2 left 70 seconds 1 left          | 0.0   | none      |
      | 3 failed 70 seconds 3 done        | 0.0   | none      |
      | 6 slow                            | 0.0   | slow      |
      | 6 slow 70 seconds                 | 0.0   | none      |

  Scenario Outline: a bad minion gets as many runs as others, or never again as many
    Given minion "m0" <fault>
    And the waiting jobs "old" and later "new" of 40 tasks each
    When 0.3 seconds pass in rounds
    Then "m0" has 1 run, of job "new"
    And "m1" has 4 runs, of job "old"
    When a run on "m0" ends "failed"
    And 0.5 seconds pass in rounds
    Then "m0" has 0 runs
    When 1.0 seconds pass in rounds
    Then "m0" has 1 run, of job "new"
    When a run on "m0" ends "done"
    And 0.3 seconds pass in rounds
    Then "m0" has 2 runs, of job "new"
    When a run on "m0" ends "done"
    And 0.3 seconds pass in rounds
    Then "m0" has 4 runs, of job "new"
    When a run on "m0" ends "done"
    And a run on "m0" ends "done"
    And 0.3 seconds pass in rounds
    Then "minion back to normal" was logged once
    And "m0" has 4 runs

    Examples:
      | fault                   |
      | fails half of its runs  |
      | restarts each 3 seconds |
      | is slow                 |

  Scenario: a slow minion is found only when its runs have ended, after a multiple of their time
    Given 4 tasks have run on "m0" for 4 seconds that others end within 1
    Then 1 minions are on probation

  Scenario Outline: a task that must not fail again runs on probation, or one that may waits
    Given minion "m0" fails half of its runs
    And all other minions are full
    When job "a" of <task> arrives
    And 5.0 seconds pass in rounds
    Then "m0" has <runs> runs

    Examples:
      | task                         | runs |
      | a short task                 | 1    |
      | a task with one attempt left | 0    |
      | a gang of 2 tasks            | 0    |
      | a lasting task               | 1    |

  Scenario: a copy of a run starts on a minion on probation
    Given minion "m0" restarts each 3 seconds
    When job "a" of a speculative task arrives
    And 0.3 seconds pass in rounds
    And all other minions are full
    And 5.0 seconds pass in rounds
    Then "m0" has 0 runs

  Scenario: a gang waits beside free capacity because it fits only with minions on probation
    Given minion "m0" fails half of its runs
    When job "a" of a gang of 30 tasks arrives
    And 1.0 seconds pass in rounds
    Then "m0" has 0 runs
    When 1.0 seconds pass in rounds
    Then "m0" has 4 runs, of job "a"

  Scenario Outline: a service loses a large part of its capacity to probation
    Given <count> minions are slow at once
    Then <on_probation> minions are on probation

    Examples:
      | count | on_probation |
      | 2     | 2            |
      | 3     | 0            |
      | 4     | 0            |

  Scenario Outline: what was held against a machine is held against another one
    Given minion "m0" restarts each 3 seconds
    When <event>
    And 0.3 seconds pass in rounds
    Then <count> minions are on probation

    Examples:
      | event                                              | count |
      | "m0" comes back with 4 processors                  | 1     |
      | "m0" comes back with 8 processors                  | 0     |
      | a new leader takes over                            | 0     |
      | 61 seconds pass in rounds                          | 0     |

  Scenario: a fleet without the switch is served in another way
    Given a new leader without speed placement
    And minion "m0" restarts each 3 seconds
    Then 0 minions are on probation
