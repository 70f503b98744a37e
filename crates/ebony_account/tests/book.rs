//! Individual operations of the account book.

use ebony_account::{
    AccountBook, AccountOptions, AccountRecord, CoverOutcome, CoverRequester, ProgramAllowance,
    ReserveOutcome, SpendOutcome, TurnCover, TurnOpening, TurnRequest,
};
use ebony_types::{ClockTime, ProgramName};

const NOW: ClockTime = ClockTime::from_millis(0);

fn turn(budget: u64, has_history: bool) -> TurnRequest {
    TurnRequest {
        program: ProgramName::parse("p").expect("a valid name"),
        budget,
        most_tokens: 280,
        event_tokens: 7,
        has_history,
    }
}

fn opened(book: &mut AccountBook, turn: &TurnRequest) -> TurnCover {
    match book.open_turn(turn, NOW) {
        TurnOpening::Open(cover) => cover,
        TurnOpening::Full => panic!("the book is full"),
    }
}

#[test]
fn an_owner_asks_for_a_block_and_another_entry_for_what_it_needs() {
    let requests = [CoverRequester::Owner, CoverRequester::Borrower].map(|requester| {
        let mut book = AccountBook::open(AccountOptions::default());
        let mut cover = opened(&mut book, &turn(4_800, false));
        book.reserve(&mut cover);
        book.next_request(cover.account(), requester)
            .expect("the turn has no cover")
    });
    insta::assert_debug_snapshot!(requests);
}

#[test]
fn one_block_covers_several_turns() {
    let mut book = AccountBook::open(AccountOptions::default());
    let mut cover = opened(&mut book, &turn(4_800, false));
    book.reserve(&mut cover);
    book.next_request(cover.account(), CoverRequester::Owner)
        .expect("the turn has no cover");
    let granted = CoverOutcome::Granted {
        tokens: 1_200,
        recorded: 1_200,
    };
    book.settle_cover(cover.account(), granted);
    for _ in 0..12 {
        assert_eq!(book.reserve(&mut cover), ReserveOutcome::Reserved);
        for _ in 0..10 {
            book.spend(&mut cover, 7);
        }
        book.close_turn(&mut cover, NOW);
        assert_eq!(book.next_request(cover.account(), CoverRequester::Owner), None);
        cover = opened(&mut book, &turn(4_800, true));
    }
}

#[test]
fn unused_lent_cover_returns_to_the_lender() {
    let mut lender = AccountBook::open(AccountOptions::default());
    let mut lent = opened(&mut lender, &turn(600, false));
    lender.reserve(&mut lent);
    lender
        .next_request(lent.account(), CoverRequester::Owner)
        .expect("the turn has no cover");
    let granted = CoverOutcome::Granted {
        tokens: 280,
        recorded: 280,
    };
    lender.settle_cover(lent.account(), granted);
    lender.reserve(&mut lent);
    let tokens = lender.lend_cover(&mut lent);
    lender.close_turn(&mut lent, NOW);

    let mut borrower = AccountBook::open(AccountOptions::default());
    let mut cover = opened(&mut borrower, &turn(600, false));
    borrower.add_cover(cover.account(), tokens);
    borrower.reserve_partly(&mut cover);
    borrower.spend(&mut cover, 70);
    assert_eq!(borrower.take_free(cover.account()), 0, "the turn is still open");
    borrower.close_turn(&mut cover, NOW);
    let free = borrower.take_free(cover.account());
    assert_eq!(free, 210);
    assert_eq!(borrower.take_free(cover.account()), 0);

    assert!(lender.take_back(&turn(600, true).program, 600, free, NOW));
    let mut next = opened(&mut lender, &turn(600, true));
    assert_eq!(lender.reserve(&mut next), ReserveOutcome::Waiting);
    let request = lender
        .next_request(next.account(), CoverRequester::Owner)
        .expect("70 tokens are missing");
    assert_eq!(request.tokens, 80);
}

#[test]
fn allowances_while_the_store_is_away() {
    let allowed = |has_history: bool, is_recorded: bool, allowance: ProgramAllowance| {
        let mut book = AccountBook::open(AccountOptions::default());
        let turn = turn(2_000, has_history);
        if is_recorded {
            let mut first = opened(&mut book, &turn);
            book.reserve(&mut first);
            book.next_request(first.account(), CoverRequester::Owner)
                .expect("the turn has no cover");
            let granted = CoverOutcome::Granted {
                tokens: 0,
                recorded: 0,
            };
            book.settle_cover(first.account(), granted);
            book.close_turn(&mut first, NOW);
        }
        let mut turns = 0;
        while turns < 100 {
            let mut cover = opened(&mut book, &turn);
            if !book.reserve_by_allowance(&mut cover, allowance) {
                break;
            }
            for _ in 0..10 {
                book.spend(&mut cover, 7);
            }
            book.close_turn(&mut cover, NOW);
            turns += 1;
        }
        turns
    };
    let mut rows = Vec::new();
    for has_history in [false, true] {
        for is_recorded in [false, true] {
            for allowance in [ProgramAllowance::OneTurn, ProgramAllowance::Unrecorded] {
                let turns = allowed(has_history, is_recorded, allowance);
                rows.push(format!(
                    "history {has_history}, recorded {is_recorded}, {allowance:?}: {turns} turns of 70 tokens"
                ));
            }
        }
    }
    insta::assert_debug_snapshot!(rows);
}

/// A first turn may be sent again to another owner after the first owner was killed, so that its allowance is only a
/// sixth of the budget and one turn. A later turn shows that the first one was answered, and raises the allowance.
#[test]
fn the_allowance_grows_once_the_first_turn_was_answered() {
    let mut book = AccountBook::open(AccountOptions::default());
    let mut forwarded = Vec::new();
    for has_history in [false, true] {
        let mut tokens = 0;
        for _ in 0..20 {
            let mut cover = opened(&mut book, &turn(2_000, has_history));
            if book.reserve_by_allowance(&mut cover, ProgramAllowance::Unrecorded) {
                while tokens < 2_000 && book.spend(&mut cover, 7) == SpendOutcome::Spent {
                    tokens += 7;
                }
            }
            book.close_turn(&mut cover, NOW);
        }
        forwarded.push(tokens);
    }
    // The sum is about half of the budget; only whole events are forwarded.
    assert_eq!(forwarded, [560, 434]);
}

/// Guards against cover that is lost after a restart of all entries: an entry requests a grant before it knows the
/// owner, and gives it back to an owner that has no account of the program yet.
#[test]
fn cover_returned_before_the_first_turn_is_used() {
    let mut book = AccountBook::open(AccountOptions::default());
    let request = turn(420, false);
    assert!(book.take_back(&request.program, request.budget, 280, NOW));
    let mut cover = opened(&mut book, &request);
    assert_eq!(book.reserve(&mut cover), ReserveOutcome::Reserved);
}

#[test]
fn accounts_are_bounded_and_evicted() {
    let options = AccountOptions {
        max_accounts: 2,
        ..AccountOptions::default()
    };
    let mut book = AccountBook::open(options);
    let named = |name: &str| TurnRequest {
        program: ProgramName::parse(name).expect("a valid name"),
        ..turn(600, false)
    };
    let mut first = opened(&mut book, &named("a"));
    opened(&mut book, &named("b"));
    assert_eq!(book.open_turn(&named("c"), NOW), TurnOpening::Full);
    book.close_turn(&mut first, NOW);
    let later = NOW + options.retention;
    assert!(matches!(book.open_turn(&named("c"), later), TurnOpening::Open(_)));
    assert!(!book.contains(first.account()));
}

/// Guards against gateways using up a budget with blocks, if each of them substitutes for the owner for one turn.
#[test]
fn entries_that_substitute_for_the_owner_leave_budget_for_later_turns() {
    let mut record = AccountRecord::open(100_000);
    for substitute in 0..16 {
        let mut book = AccountBook::open(AccountOptions::default());
        let mut cover = opened(&mut book, &turn(100_000, true));
        book.reserve(&mut cover);
        let request = book
            .next_request(cover.account(), CoverRequester::Owner)
            .expect("the turn has no cover");
        let tokens = record.grant(&request);
        let recorded = record.granted;
        book.settle_cover(cover.account(), CoverOutcome::Granted { tokens, recorded });
        assert_eq!(
            book.reserve(&mut cover),
            ReserveOutcome::Reserved,
            "substitute {substitute}, {} left",
            record.left()
        );
    }
}
