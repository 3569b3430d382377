Feature: Decisions without I/O

  Scenario: A failing minion gets requests, or one probe too many
    Then a minion with 5 failures in a row is left out for 5, 10, 20, 40, 60 and 60 seconds
    And it gets exactly one probe at a time and returns after an answer

  Scenario: A slow minion keeps its share of requests, or most minions are ejected at once
    Then a minion above 5 times the median latency is ejected
    And of 10 failing minions 3 are ejected

  Scenario: A far or full peer gets a request although a near one is free
    Then peers are chosen by domain, then region, and a burst does not exceed reported slots

  Scenario: Retries multiply the load of a failing service
    Then 1000 failing requests get at most 110 retries
    And only repeatable requests or ones that were not dispatched are retried

  Scenario: The most valuable request is shed, or a shed one is kept
    Then a full queue sheds low before normal before urgent and newer before older

  Scenario: An abandoned request gives its slot back while the minion may still work
    Then an abandoned slot stays taken for 30 seconds or until it is released

  Scenario: A pause of the loop lets a request outlive its deadline
    Then a request that waits in virtual time is refused at half its deadline

  Scenario: A replayed or very old forwarded request is accepted
    Then nonces are accepted once, out of order, and never below the window

  Scenario: The claims of many keys fill the memory or the first claim is lost
    Then 50000 claims take less than 4 MB and each first claim is found

  Scenario: Claims are appended one by one, or a lost one is given a new id
    Then batches are 0.09 seconds apart and keep a claim until it was read back
