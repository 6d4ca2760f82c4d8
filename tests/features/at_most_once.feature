Feature: Told "not run" means not run, and marked calls run at most once

  Scenario Outline: The exchange with the ledger is cut at every point
    Given a fleet whose ledger stands behind a fault proxy
    When 6 calls are sent while connections are <fault>
    Then no call that was told as not run has run
    And no call has run twice
    And calls sent again with the same key after the fault run at most once

    Examples:
      | fault                        |
      | refused                      |
      | cut in the request's head    |
      | cut in the request's body    |
      | cut after the request's body |
      | cut in the answer            |
      | frozen after the request     |

  Scenario: A call is repeated through every host
    Given a fleet of two data centres with three hosts
    When the same marked call is sent through every host at once
    Then it has run once
    And every repeat got the recorded answer or was told that the key is held

  Scenario: The host is killed while its call runs
    Given a fleet of two data centres with three hosts
    When the host is killed while its marked call runs
    And the call is repeated through the other hosts
    Then it has run once

  Scenario: The platform is down, slow, and loses answers after the write
    Given a fleet of two data centres with three hosts
    When marked calls are sent while the platform is in "outage"
    And marked calls are sent while the platform is in "lose_answers"
    And marked calls are sent while the platform is in "slow"
    Then no call has run twice
    And no call that was told as not run has run
    And idempotent calls and turns are answered during an outage

  Scenario: The host is stopped for longer than the deadline and goes on
    Given a fleet of two data centres with three hosts
    When a host is paused while marked calls come to it
    And the call is repeated through the other hosts
    Then no call has run twice
