Feature: refusal of submissions in a shortage

  Scenario Outline: submissions are <failure>
    Given a queue whose useful time is 10 s
    When the leader expects <seconds> s for <time> s
    Then the share of its submissions to admit is <share>

    Examples:
      | failure                                       | seconds  | time | share |
      | refused although all jobs may end in time     | 9        | 3    | none  |
      | refused within the error of the estimates     | 14       | 3    | none  |
      | refused because of a short peak               | 100      | 0.9  | none  |
      | all admitted, or refused more than needed     | 20       | 1.2  | 0.75  |
      | refused more often than customers were told   | 100      | 1.2  | 0.4   |
      | refused more often when nothing is worked off | inf      | 1.2  | 0.4   |

  Scenario: refusals outlast the shortage
    Given a queue whose useful time is 10 s
    When the leader expects 20 s for 2 s
    And the leader expects 14 s for 0.25 s
    Then the share of its submissions to admit is none

  Scenario Outline: <failure>
    Given a fleet with shortage control and <minions> minions of 4 processors
    And each <every> s a job "a" of 4 tasks of 1 s arrives for 30 s
    And each 1 s a job of queue "long" of 1 tasks of 1 s arrives for 30 s
    When <begin> s pass
    Then submissions of queue "long" are refused <refused>

    Examples:
      | failure                                               | minions | every | begin | refused |
      | a burst of 2.6 times the usual load for 10 s is turned away | 1 | 0.38  | 10    | never   |
      | a queue whose jobs can never finish is let in         | 1       | 0.1   | 20    | in part |
      | jobs are refused while a service has no minions       | 0       | 0.5   | 10    | never   |

  Scenario: a queue whose jobs can finish is refused beside one whose jobs can't
    Given a fleet with shortage control and 1 minions of 4 processors
    And each 0.1 s a job "a" of 4 tasks of 1 s arrives for 30 s
    And each 1 s a job of queue "long" of 1 tasks of 1 s arrives for 30 s
    When 25 s pass
    Then submissions of queue "short" are refused never
    And submissions of queue "long" are refused in part

  Scenario Outline: <failure>
    Given an entry process that knows a verdict of share <share> and <room> s, <age> s old
    When <count> jobs arrive at <rate> per second
    Then <low> to <high> of them are admitted
    And in each 5 s at least 40 % are admitted

    Examples:
      | failure                                             | share | room | age | count | rate | low | high |
      | more are admitted than the leader allows            | 0.5   | 3    | 0   | 200   | 100  | 99  | 102  |
      | all are refused                                     | 0.4   | 60   | 0   | 200   | 100  | 80  | 83   |
      | the first caller after a pause is refused           | 0.4   | 3    | 0   | 1     | 1    | 1   | 1    |
      | jobs are refused after 3 s without a message        | 0.4   | 3    | 3.1 | 100   | 100  | 100 | 100  |
      | jobs are admitted between two messages              | 0.4   | 3    | 0.6 | 100   | 100  | 40  | 43   |

  Scenario Outline: <failure> is refused
    Given an entry process that knows a verdict of share 0.4 and 3 s, 0 s old
    When <kind> arrives again and again
    Then none is refused

    Examples:
      | failure                             | kind             |
      | a job that keeps a serving task up  | a lasting job    |
      | a job that is due some time         | a scheduled job  |
      | a job of a queue without a shortage | an unrelated job |

  Scenario: callers refused earlier return later, or all at once
    Given an entry process that knows a verdict of share 0.4 and 8 s, 0 s old
    When 200 jobs arrive at 100 per second
    And it learns of a room in 2 s instead
    And 200 jobs arrive at 100 per second
    Then callers are asked to wait 1 to 10 whole seconds
    And the mean time of return of the first half is no later than that of the second

  Scenario: builds of both kinds can't read the messages and records of each other
    Given a notice with a verdict about queue "q"
    Then the build before reads the notice, and this one reads the notice of the build before
    And the build before reads a submission from domain "d", and this one that of the build before
