Feature: Admission of the jobs of tenants

  Scenario Outline: A tenant is refused although it keeps to its share or its jobs need not wait
    Given a tenant of weight 2 with <arrivals> arrivals and 3 starts per second, <drain> s of work
    And its service <has> capacity
    Then the leader names <rate> for it

    Examples:
      | arrivals | drain | has   | rate        |
      | 1.9      | 30    | lacks | no rate     |
      | 40       | 3.9   | has   | no rate     |
      | 40       | 4.1   | has   | a rate of 2.93 |
      | 40       | 2     | lacks | a rate of 3 |
      | 40       | 40    | lacks | a rate of 2 |

  Scenario: A tenant is admitted without bound as soon as its refusals lower its arrivals
    Given a tenant of weight 2 with 40 arrivals and 3 starts per second, 30 s of work
    And its service lacks capacity
    Then the leader names a rate of 2 for it
    When its arrivals fall to 1.9 per second
    Then the leader names a rate of 2 for it
    When its backlog is drained
    Then the leader names no rate for it

  Scenario Outline: A tenant floods the fleet, or is refused for a flood of another one
    Given <processes> processes and a tenant whose admitted rate is <rate> per second
    When it sends <demand> jobs per second for <seconds> s to <targets> of them
    Then between <least> and <most> jobs are accepted after the first second

    Examples:
      | processes | rate | demand | seconds | targets | least | most |
      | 10        | 5    | 100    | 10      | 10      | 30    | 90   |
      | 10        | 5    | 100    | 10      | 1       | 30    | 80   |
      | 10        | 5    | 4      | 10      | 1       | 36    | 36   |
      | 97        | 5    | 4      | 10      | 97      | 36    | 36   |

  Scenario Outline: A process without a leader's message admits all, or nothing
    Given a process whose last message of the leader is <age> s old, and which named no rate
    When a tenant of weight 2 sends 100 jobs at once, and again 100 after 2 s
    Then <first> and <second> of them are accepted

    Examples:
      | age   | first | second |
      | 0.5   | 100   | 100    |
      | 3.1   | 8     | 4      |
      | never | 8     | 4      |

  Scenario: All refused clients come back at the same time, or after more than 10 s
    When times to wait are chosen for backlogs of 0.2, 3 and 60 s
    Then all are between 1 and 10 s, and those of one backlog differ
