//! Applies a long session of entries and compares outcomes, state and digest with a snapshot.

use quetzalpick_core::id::{EngineIncarnation, Offset, Revision, Sequence, Version};
use quetzalpick_core::record::{
    Change, Claim, ClaimKey, ClaimResult, Declaration, EndpointKind, Finish, Holding, Intent,
    Operation, PARTS_TOTAL, Place, Record, Report, Retire, Role, Route, ServiceSpec, Settled,
    Settlement, VoterChange,
};
use quetzalpick_core::state::State;

use crate::script::{
    Session, add_key, artifact, by, compact, endpoint, endpoint_spec, join, member, operator,
    service, set_adapter, set_engine, set_model, set_workspace, vm_name, withdraw_key, workspace,
};

fn load(name: &str, version: u32) -> Operation {
    Operation::Load(artifact(name), Version(version))
}

fn unload(name: &str, version: u32) -> Operation {
    Operation::Unload(artifact(name), Version(version))
}

/// `Leader` appends records as the placement leader.
struct Leader {
    member: quetzalpick_core::id::Member,
    term: Offset,
}

impl Leader {
    fn intend(&self, session: &mut Session, at: &str, sequence: u64, operation: Operation) {
        let intent = Intent {
            leader: self.member.clone(),
            term: self.term,
            endpoint: endpoint(at),
            sequence: Sequence(sequence),
            operation,
        };
        session.by(&self.member, Record::Intent(intent));
    }

    fn settle(&self, session: &mut Session, at: &str, sequence: u64, settlement: Settlement) {
        let settled = Settled {
            endpoint: endpoint(at),
            sequence: Sequence(sequence),
            incarnation: EngineIncarnation(1),
            as_of: session.state.next(),
            settlement,
        };
        session.by(&self.member, Record::Settled(settled));
    }

    fn report(&self, session: &mut Session, at: &str, loaded: &[(&str, u32)]) {
        let row = |(name, version): &(&str, u32)| (artifact(name), Version(*version));
        let report = Report {
            endpoint: endpoint(at),
            incarnation: EngineIncarnation(1),
            as_of: session.state.next(),
            loaded: loaded.iter().map(row).collect(),
        };
        session.by(&self.member, Record::Report(report));
    }
}

fn configuration(session: &mut Session) {
    session.add_comment("# configuration");
    session.change(set_workspace("lagos", 0));
    session.change(set_workspace("lagos", 500));
    session.change(add_key("kitchen", "abuja", 1));
    session.change(add_key("kitchen", "lagos", 1));
    session.change(add_key("kitchen", "lagos", 2));
    session.change(add_key("other", "lagos", 1));
    session.change(withdraw_key("kitchen"));
    session.change(withdraw_key("kitchen"));
    session.change(add_key("kitchen", "lagos", 3));
    let stale = operator(900, set_workspace("lagos", 900));
    let stale = quetzalpick_core::record::Entry {
        expect: Some(Revision(1)),
        ..stale
    };
    session.apply(&stale);
    session.apply(&stale);
    session.change(set_adapter("menu-ng", "menu", 1, 10));
    session.change(set_model("menu", 1, 400));
    session.change(set_adapter("menu-ng", "menu", 1, 10));
    session.change(set_model("menu", 1, 500));
    session.change(set_model("menu-ng", 1, 500));
    session.change(Change::RemoveArtifact(artifact("menu")));
    session.change(set_engine("e1", 9001, 1_000, true));
    session.change(set_engine("e2", 9001, 1_000, false));
    session.change(set_engine("e2", 9002, 1_000, false));
    let kind = EndpointKind::Service {
        service: service("desk"),
    };
    session.change(Change::SetEndpoint(
        endpoint("d1"),
        endpoint_spec(9003, kind.clone()),
    ));
    let route = |prefix: &str| Route {
        method: "POST".to_owned(),
        prefix: prefix.to_owned(),
        open: false,
        idempotent: false,
    };
    let desk = |prefixes: &[&str]| ServiceSpec {
        charge: 5,
        routes: prefixes.iter().map(|prefix| route(prefix)).collect(),
    };
    session.change(Change::SetService(service("desk"), desk(&["/a/../b"])));
    session.change(Change::SetService(service("desk"), desk(&["/a", "/a/"])));
    session.change(Change::SetService(service("desk"), desk(&["/bookings/"])));
    session.change(Change::SetEndpoint(
        endpoint("d1"),
        endpoint_spec(9003, kind),
    ));
    session.change(Change::RemoveService(service("desk")));
    let place = |min, max, pinned: &str| {
        let pinned = vec![endpoint(pinned)];
        Change::SetPlace(artifact("menu"), Place { min, max, pinned })
    };
    session.change(place(2, 1, "e1"));
    session.change(place(1, 2, "d1"));
    session.change(place(1, 2, "e1"));
    session.change(Change::RemoveEndpoint(endpoint("e1")));
    session.change(Change::RetireVm(vm_name("ng-9")));
}

fn membership(session: &mut Session) {
    session.add_comment("# membership");
    let [a, b, c] = [1, 2, 3].map(|n| member(&format!("ng-{n}"), n));
    session.by(&a, Record::Lead(a.clone()));
    session.by(&a, join(&b, Role::Keeper));
    session.by(&a, join(&a, Role::Keeper));
    session.by(&a, join(&a, Role::Keeper));
    session.by(&b, join(&b, Role::Keeper));
    session.by(&c, join(&c, Role::Gate));
    let change_voters = |session: &mut Session, member, confirmed_by: &[_]| {
        let change = VoterChange {
            member,
            voters_changed: session.state.roster().voters_changed(),
            confirmed_by: confirmed_by.to_vec(),
        };
        session.by(&a, Record::ChangeVoters(change));
    };
    change_voters(session, b.clone(), std::slice::from_ref(&b));
    change_voters(session, b.clone(), std::slice::from_ref(&a));
    change_voters(session, c.clone(), &[a.clone(), a.clone()]);
    change_voters(session, c.clone(), &[a.clone(), b.clone()]);
    change_voters(session, c.clone(), &[a.clone(), b.clone()]);
    session.by(&a, Record::Refute(b.clone()));
    session.by(&b, Record::Suspect(b.clone()));
    let suspected = session.accepted(&a, Record::Suspect(b.clone()));
    session.by(&c, Record::Suspect(b.clone()));
    session.by(&b, Record::Refute(b.clone()));
    let retire = |session: &mut Session, suspected, voters_changed| {
        let retire = Retire {
            member: b.clone(),
            suspected,
            voters_changed,
            confirmed_by: vec![a.clone(), c.clone()],
        };
        session.by(&a, Record::Retire(retire));
    };
    let voters_changed = session.state.roster().voters_changed();
    retire(session, suspected, voters_changed);
    let suspected = session.accepted(&c, Record::Suspect(b.clone()));
    retire(session, suspected, Offset(0));
    retire(session, suspected, voters_changed);
    session.by(&b, Record::Refute(b.clone()));
    session.add_comment(format!("voters {:?}", session.state.roster().voters()));
    change_voters(session, b.clone(), &[a.clone(), c.clone()]);
    session.add_comment(format!("voters {:?}", session.state.roster().voters()));
    let operator_expire = by(901, &a, Record::Expire(Offset(5)));
    let operator_expire = quetzalpick_core::record::Entry {
        author: quetzalpick_core::record::Author::Operator("ada".to_owned()),
        ..operator_expire
    };
    session.apply(&operator_expire);
}

fn placement(session: &mut Session) {
    session.add_comment("# placement");
    let a = member("ng-1", 1);
    session.by(&member("ng-3", 3), Record::Lead(member("ng-3", 3)));
    let term = session.accepted(&a, Record::Lead(a.clone()));
    let leader = Leader { member: a, term };
    leader.intend(session, "e1", 1, load("menu", 1));
    leader.report(session, "e1", &[]);
    leader.report(session, "e2", &[]);
    leader.intend(session, "e1", 1, load("menu-ng", 1));
    leader.intend(session, "e1", 2, load("menu", 1));
    leader.intend(session, "e1", 1, load("menu", 2));
    leader.intend(session, "e1", 1, load("menu", 1));
    leader.intend(session, "e1", 2, unload("menu", 1));
    leader.intend(session, "e1", 2, load("menu", 1));
    leader.settle(session, "e1", 1, Settlement::Done);
    leader.settle(session, "e1", 1, Settlement::Done);
    leader.intend(session, "e1", 2, load("menu-ng", 1));
    leader.settle(session, "e1", 2, Settlement::Done);
    session.add_comment("a new version is loaded before the old one is unloaded");
    session.change(set_model("menu", 2, 700));
    leader.intend(session, "e1", 3, unload("menu", 1));
    leader.intend(session, "e1", 3, load("menu", 2));
    leader.intend(session, "e2", 1, load("menu", 2));
    session.change(set_engine("e2", 9002, 600, false));
    leader.settle(session, "e2", 1, Settlement::Done);
    leader.intend(session, "e1", 3, unload("menu", 1));
    leader.intend(session, "e2", 2, load("menu-ng", 1));
    leader.settle(session, "e2", 2, Settlement::Done);
    leader.intend(session, "e1", 3, unload("menu", 1));
    leader.settle(session, "e1", 3, Settlement::Done);
    leader.intend(session, "e1", 4, unload("menu-ng", 1));
    leader.intend(session, "e2", 3, unload("menu", 2));
    session.change(Change::RemoveEndpoint(endpoint("e2")));
    session.change(set_engine("e2", 9007, 1_000, false));
    session.change(set_engine("e1", 9001, 1_000, false));
    session.change(Change::Drain(endpoint("e1"), true));
    leader.settle(session, "e1", 4, Settlement::Refused);
    leader.intend(session, "e1", 5, load("menu", 2));
    leader.report(session, "e1", &[("ghost", 7)]);
    session.change(Change::Drain(endpoint("e1"), false));
    leader.intend(session, "e1", 5, load("menu", 2));
    leader.intend(session, "e1", 5, unload("ghost", 7));
    session.add_comment("a report that was requested before the last order is too old");
    let as_of = Offset(session.state.next().0 - 1);
    let stale = Report {
        endpoint: endpoint("e1"),
        incarnation: EngineIncarnation(1),
        as_of,
        loaded: Vec::new(),
    };
    session.by(&leader.member, Record::Report(stale));
    let stale = Settled {
        endpoint: endpoint("e1"),
        sequence: Sequence(5),
        incarnation: EngineIncarnation(1),
        as_of,
        settlement: Settlement::Done,
    };
    session.by(&leader.member, Record::Settled(stale));
    let a = leader.member.clone();
    session.by(&a, Record::Resign(a.clone()));
    leader.settle(session, "e1", 5, Settlement::Done);
    session.add_comment("another address means another engine");
    session.change(set_engine("e1", 9008, 500, false));
    session.add_comment(compact(&session.state.ledger()));
}

fn shares(session: &mut Session) {
    session.add_comment("# shares");
    let [c, d, e] = [(3, 3), (4, 4), (5, 5)].map(|(vm, n)| member(&format!("ng-{vm}"), n));
    session.by(&d, join(&d, Role::Gate));
    session.by(&e, join(&e, Role::Gate));
    session.change(set_workspace("abuja", 100));
    let created = |session: &Session, name: &str| {
        let (created, _) = session
            .state
            .catalog()
            .workspaces()
            .get(&workspace(name))
            .unwrap();
        *created
    };
    let epoch = session.accepted(&c, Record::Leave(c.clone()));
    session.change(set_workspace("jos", 100));
    let holding = |session: &Session, name: &str, parts| Holding {
        workspace: workspace(name),
        created: created(session, name),
        parts,
    };
    let declare = |session: &mut Session, member: &_, epoch, holdings| {
        let declaration = Declaration {
            member: Clone::clone(member),
            epoch,
            holdings,
        };
        session.by(member, Record::Declare(declaration));
    };
    let third = PARTS_TOTAL / 3;
    let rows = vec![
        holding(session, "abuja", third),
        holding(session, "lagos", third),
    ];
    declare(session, &d, Offset(0), rows.clone());
    declare(session, &d, epoch, rows.clone());
    declare(session, &d, epoch, rows);
    let too_many = vec![holding(session, "abuja", PARTS_TOTAL)];
    declare(session, &e, epoch, too_many);
    let rows = vec![holding(session, "abuja", third)];
    declare(session, &e, epoch, rows);
    for gate in [&d, &e] {
        let grants = session.state.shares().grants(gate).unwrap();
        session.add_comment(format!("{gate} {}", compact(grants)));
    }
    let restarted = member("ng-4", 8);
    session.by(&restarted, join(&restarted, Role::Gate));
    session.accepted(&e, Record::Suspect(d.clone()));
    session.change(Change::RetireVm(vm_name("ng-4")));
    assert!(session.state.roster().is_active(&restarted));
    session.change(Change::RetireVm(vm_name("ng-4")));
    assert!(!session.state.roster().is_active(&restarted));
    session.accepted(&e, Record::Leave(e.clone()));
    let f = member("ng-6", 6);
    session.by(&f, join(&f, Role::Gate));
    session.add_comment(compact(session.state.shares()));
}

fn claims(session: &mut Session) {
    session.add_comment("# claims");
    let [f, g] = [6, 7].map(|n| member(&format!("ng-{n}"), n));
    session.by(&g, join(&g, Role::Gate));
    let key = |key: &str| ClaimKey {
        workspace: Some(workspace("lagos")),
        service: service("desk"),
        key: key.to_owned(),
    };
    let claim = |name: &str, fingerprint, member: &quetzalpick_core::id::Member| {
        Record::Claim(Claim {
            key: key(name),
            fingerprint,
            member: member.clone(),
        })
    };
    let finish = |name: &str, claim, result| {
        Record::Finish(Finish {
            key: key(name),
            claim,
            result,
        })
    };
    let ran = ClaimResult::Ran {
        status: 201,
        content_type: "text/plain".to_owned(),
        body: Some(b"booked".to_vec()),
    };
    session.by(&f, claim("", 1, &f));
    let first = session.accepted(&f, claim("one", 1, &f));
    session.by(&g, claim("one", 1, &g));
    session.by(&g, finish("one", first, ran.clone()));
    session.by(&f, finish("one", first, ran.clone()));
    session.by(&f, finish("one", first, ClaimResult::NotRun));
    session.by(&g, claim("one", 2, &g));
    let second = session.accepted(&f, claim("two", 1, &f));
    session.by(&f, finish("two", second, ClaimResult::NotRun));
    session.by(&g, claim("two", 2, &g));
    session.accepted(&f, claim("three", 1, &f));
    session.by(&f, Record::Leave(f.clone()));
    session.by(&g, claim("three", 1, &g));
    session.by(&f, finish("three", second, ran));
    session.by(&g, Record::Expire(Offset(10_000)));
    let next = session.state.next();
    session.by(&g, Record::Expire(next));
    session.add_comment(compact(session.state.claims()));
}

#[test]
fn session_outcomes_match_the_snapshot() {
    let mut session = Session::default();
    configuration(&mut session);
    membership(&mut session);
    placement(&mut session);
    shares(&mut session);
    claims(&mut session);
    let bytes = session.state.to_bytes().unwrap();
    assert_eq!(State::from_bytes(&bytes).unwrap(), session.state);
    session.add_comment(format!("digest {:016x}", session.state.digest()));
    insta::assert_snapshot!(session.lines.join("\n"));
}
