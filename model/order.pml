/*
 * The protocol that runs an order at most once: two requests of callers with one idempotency key at two entries, a
 * table whose replies get lost and whose writes arrive late, two agents that crash and lose their tickets, and a third
 * request that comes when the failures are over.
 *
 * The model follows core/order: Attempt is attempt.go, the inline functions of the agent are ledger.go. A guard of the
 * protocol is removed by one of these names, and the checker must then find a fault:
 *
 *   NO_VOID    a probe reports a live ticket as dead without voiding it
 *   NO_INC     the agent does not compare the incarnation of a ticket
 *   NO_INTENT  the ticket is redeemed before the intent row is written
 *   NO_CAS     a row moves to another attempt without comparing its version
 *   NO_REREAD  a dead ticket counts as proof that the order did not run, although its answer may be in the row by now
 *   EARLY_DROP the agent forgets an answer before the row is done
 */

#define AGENTS 2
#define SEQS 4
#define ATTEMPTS 3
#define MAX_TICKETS 2
#ifndef LOSSES
#define LOSSES 2
#endif
#ifndef CRASHES
#define CRASHES 1
#endif

/* States of the row. */
#define ABSENT 0
#define INTENT 1
#define DONE 2
#define LOST 3

/* States of a ticket. */
#define NONE 0
#define GRANTED 1
#define RUNNING 2
#define HELD 3
#define BROKE 4

/* Reports of an agent, and replies of the table. */
#define NOTLIVE 1
#define NOTSENT 2
#define ISRUNNING 3
#define ANSWERED 4
#define BROKEN 5
#define REBORN 6
#define UNREACHED 7
#define COMMITTED 8
#define CONFLICT 9
#define FAILED 10

/* Ends of an attempt. */
#define OPEN 0
#define SAID_DONE 1
#define SAID_NOTRUN 2
#define SAID_UNKNOWN 3
#define SAID_LOST 4

typedef Row { byte state; byte version; byte owner; byte agent; byte inc; byte seq; byte result }
typedef Agent { byte inc; byte next; byte ticket[SEQS]; byte owner[SEQS]; byte intent[SEQS]; byte result[SEQS] }

Row row;
Agent ag[AGENTS];
byte losses = LOSSES;
byte crashes = CRASHES;

/* The ghosts of the claims: how often the order ran, who ran it, and what the callers were told. */
byte runs = 0;
byte ranBy = 255;
byte said[ATTEMPTS];
byte reply[ATTEMPTS];
byte ended = 0;

/* One write and one redemption may arrive late, long after their sender has given them up. */
Row lateRow; byte lateExpect; bool lateWrite = false;
byte lateAgent, lateInc, lateSeq, lateOwner, lateVersion; bool lateRedeem = false;

/* The table stores a row if the stored one has the expected version. */
inline apply(pExpect, pSt, pOw, pA, pIc, pSq, pRs, pOut) {
	if
#ifdef NO_CAS
	:: (row.version == pExpect || (pSt == INTENT && pExpect > 0)) ->
#else
	:: (row.version == pExpect) ->
#endif
		row.state = pSt; row.version = row.version + 1; row.owner = pOw;
		row.agent = pA; row.inc = pIc; row.seq = pSq; row.result = pRs;
		pOut = COMMITTED
	:: else -> pOut = CONFLICT
	fi
}

/* A write may take effect without a reply, get lost, or arrive late. */
inline write(pExpect, pSt, pOw, pA, pIc, pSq, pRs, pOut) {
	atomic {
		if
		:: apply(pExpect, pSt, pOw, pA, pIc, pSq, pRs, pOut)
		:: (losses > 0) -> losses--; apply(pExpect, pSt, pOw, pA, pIc, pSq, pRs, pOut); pOut = FAILED
		:: (losses > 0) -> losses--; pOut = FAILED
		:: (losses > 0 && !lateWrite) -> losses--;
			lateWrite = true; lateExpect = pExpect;
			lateRow.state = pSt; lateRow.owner = pOw; lateRow.agent = pA; lateRow.inc = pIc; lateRow.seq = pSq; lateRow.result = pRs;
			pOut = FAILED
		fi
	}
}

/* The agent's side. */

/* What a forgotten ticket held is cleared, so that it does not tell states apart. */
#define CLEAR(x, q) ag[x].ticket[q] = NONE; ag[x].owner[q] = 0; ag[x].intent[q] = 0; ag[x].result[q] = 0

inline redeemAt(pA, pIc, pSq, pOw, pVer, pOut) {
	if
#ifndef NO_INC
	:: (ag[pA].inc != pIc) -> pOut = REBORN
#endif
	:: else ->
		if
		:: (ag[pA].ticket[pSq] == GRANTED) ->
			ag[pA].ticket[pSq] = RUNNING; ag[pA].owner[pSq] = pOw; ag[pA].intent[pSq] = pVer; pOut = ISRUNNING
		:: (ag[pA].ticket[pSq] == NONE) -> pOut = NOTLIVE
		:: (ag[pA].ticket[pSq] == RUNNING) -> pOut = ISRUNNING
		:: (ag[pA].ticket[pSq] == HELD) -> pOut = ANSWERED
		:: (ag[pA].ticket[pSq] == BROKE) -> pOut = BROKEN
		fi
	fi
}

inline probeAt(pA, pIc, pSq, pOut, pRs) {
	if
#ifndef NO_INC
	:: (ag[pA].inc != pIc) -> pOut = REBORN
#endif
	:: else ->
		if
		:: (ag[pA].ticket[pSq] == GRANTED) ->
#ifndef NO_VOID
			CLEAR(pA, pSq);
#endif
			pOut = NOTLIVE
		:: (ag[pA].ticket[pSq] == NONE) -> pOut = NOTLIVE
		:: (ag[pA].ticket[pSq] == RUNNING) -> pOut = ISRUNNING
		:: (ag[pA].ticket[pSq] == HELD) -> pOut = ANSWERED; pRs = ag[pA].result[pSq]
		:: (ag[pA].ticket[pSq] == BROKE) -> pOut = BROKEN
		fi
	fi
}

inline confirmAt(pA, pIc, pSq) {
	if
	:: (ag[pA].inc == pIc && (ag[pA].ticket[pSq] == HELD || ag[pA].ticket[pSq] == BROKE)) -> CLEAR(pA, pSq)
	:: else
	fi
}

inline ran(pOw) { runs++; ranBy = pOw; assert(runs <= 1) }

#ifdef EARLY_DROP
#define AFTER_RUN(q) CLEAR(a, q)
#else
#define AFTER_RUN(q) ag[a].result[q] = ag[a].owner[q]; ag[a].ticket[q] = HELD
#endif

/* settleAt writes the row of an order that has ended, as an entry would, and then forgets the ticket. */
inline settleAt(pQ, pState, pResult) {
	write(ag[a].intent[pQ], pState, ag[a].owner[pQ], a, ag[a].inc, pQ, pResult, out);
	if
	:: (out != FAILED) -> CLEAR(a, pQ)
	:: else
	fi;
	out = 0
}

/* STEPS are what may happen to the ticket with a number. */
#define STEPS(q) \
	:: atomic { (ag[a].ticket[q] == GRANTED && ended < 2) -> CLEAR(a, q) } \
	:: atomic { (ag[a].ticket[q] == RUNNING) -> \
		ran(ag[a].owner[q]); reply[ag[a].owner[q]] = ANSWERED; AFTER_RUN(q) } \
	:: atomic { (ag[a].ticket[q] == RUNNING && ended < 2) -> \
		ran(ag[a].owner[q]); reply[ag[a].owner[q]] = BROKEN; ag[a].ticket[q] = BROKE } \
	:: atomic { (ag[a].ticket[q] == RUNNING && ended < 2) -> \
		reply[ag[a].owner[q]] = BROKEN; ag[a].ticket[q] = BROKE } \
	:: atomic { (ag[a].ticket[q] == RUNNING && ended < 2) -> \
		reply[ag[a].owner[q]] = NOTSENT; CLEAR(a, q) } \
	:: atomic { (ag[a].ticket[q] == HELD) -> settleAt(q, DONE, ag[a].result[q]) } \
	:: atomic { (ag[a].ticket[q] == BROKE) -> settleAt(q, LOST, 0) }

/* The agent runs orders, lets tickets expire, settles rows that no entry has settled, and crashes. */
proctype AgentProc(byte a) {
	byte sq, out;
end:
	do
	STEPS(0)
	STEPS(1)
	STEPS(2)
	STEPS(3)
	:: atomic { (crashes > 0 && ended < 2) -> crashes--;
		ag[a].inc++; ag[a].next = 0;
		sq = 0;
		do
		:: (sq < SEQS) ->
			if
			:: (ag[a].ticket[sq] == RUNNING && reply[ag[a].owner[sq]] == 0) -> reply[ag[a].owner[sq]] = UNREACHED
			:: else
			fi;
			/* The backend server may go on with the order although its agent is gone. */
			if
			:: (ag[a].ticket[sq] == RUNNING) -> ran(ag[a].owner[sq])
			:: true
			fi;
			CLEAR(a, sq); sq++
		:: else -> break
		od;
		sq = 0
	   }
	od
}

/* What was given up may still arrive. */
proctype Late() {
	byte out;
end:
	do
	:: atomic { lateWrite -> lateWrite = false;
		apply(lateExpect, lateRow.state, lateRow.owner, lateRow.agent, lateRow.inc, lateRow.seq, lateRow.result, out); out = 0;
		lateExpect = 0; lateRow.state = 0; lateRow.owner = 0; lateRow.agent = 0; lateRow.inc = 0; lateRow.seq = 0; lateRow.result = 0 }
	:: atomic { lateRedeem -> lateRedeem = false;
		redeemAt(lateAgent, lateInc, lateSeq, lateOwner, lateVersion, out); out = 0;
		lateAgent = 0; lateInc = 0; lateSeq = 0; lateOwner = 0; lateVersion = 0 }
	od
}

/* copyBase takes the stored row as the base of the next write. */
inline copyBase() {
	b.state = row.state; b.version = row.version; b.owner = row.owner;
	b.agent = row.agent; b.inc = row.inc; b.seq = row.seq; b.result = row.result
}

/* finish tells the caller. Not run must be true at the moment of its evidence, and no run of this attempt may follow. */
inline finish(word) {
	said[i] = word;
	assert(word != SAID_NOTRUN || (evidence == 0 && ranBy != i));
	assert(word != SAID_DONE || (runs == 1 && result == ranBy));
	goto over
}

/*
 * Attempt is one request at one entry. Each label with a skip is a point where other processes may go on: between them
 * stand one call of the table or of an agent and what the attempt makes of its reply.
 */
proctype Attempt(byte i; bool calm) {
	Row b;
	byte a, ic, sq, tickets, writes, sends, unreached, out, result, evidence, voided;
	bool refused;

ask:	skip;
	atomic {
		sends = 0; writes = 0; out = 0;
		if
		:: (tickets >= MAX_TICKETS + calm) -> finish(SAID_UNKNOWN)
		:: else -> tickets++
		fi;
		if
		:: (ag[0].next < SEQS) -> a = 0
		:: (ag[1].next < SEQS) -> a = 1
		:: (!calm) -> refused = true; goto read
		:: (calm && ag[0].next >= SEQS && ag[1].next >= SEQS) -> finish(SAID_LOST) /* The model's numbers are used up. */
		fi;
		ic = ag[a].inc; sq = ag[a].next; ag[a].next++; ag[a].ticket[sq] = GRANTED;
#ifdef NO_INTENT
		goto redeem
#endif
	}

intent:	skip;
	atomic {
		writes++;
		write(b.version, INTENT, i, a, ic, sq, 0, out);
		if
		:: (out == COMMITTED) -> copyBase(); goto redeem
		:: (out == CONFLICT && row.state == INTENT && row.owner == i && row.agent == a && row.inc == ic && row.seq == sq) ->
			copyBase(); goto redeem
		:: (out == CONFLICT && !(row.state == INTENT && row.owner == i && row.agent == a && row.inc == ic && row.seq == sq)) ->
			probeAt(a, ic, sq, out, result); goto follow
		:: (out == FAILED && writes < 2) -> goto intent
		:: (out == FAILED && writes >= 2) -> probeAt(a, ic, sq, out, result); finish(SAID_UNKNOWN)
		fi
	}

redeem:	skip;
	atomic {
		sends = 1; reply[i] = 0;
		if
		:: redeemAt(a, ic, sq, i, b.version, out)
		:: (!calm && losses > 0) -> losses--; goto probe
		:: (!calm && losses > 0 && !lateRedeem) -> losses--;
			lateRedeem = true; lateAgent = a; lateInc = ic; lateSeq = sq; lateOwner = i; lateVersion = b.version;
			goto probe
		fi;
		if
		:: (out == ISRUNNING) -> goto running
		:: else -> goto redeemed
		fi
	}
running: skip;
	if
	:: atomic { (reply[i] != 0) -> out = reply[i]; reply[i] = 0; result = i; goto redeemed }
	:: atomic { (!calm && losses > 0) -> losses--; goto probe }
	fi;

redeemed:	atomic {
		if
		:: (out == ANSWERED) -> goto settleDone
		:: (out == BROKEN) -> goto settleLost
		:: (out == NOTLIVE) -> goto read
		:: (out == UNREACHED) -> goto probe
		:: ((out == NOTSENT || out == REBORN) && tickets < MAX_TICKETS + calm) -> goto ask
		:: ((out == NOTSENT || out == REBORN) && tickets >= MAX_TICKETS + calm) ->
			refused = true; voided = b.version; goto read
		fi
	}

	/* probe asks about the ticket that the base names: the own one after a lost redemption, or another attempt's. */
probe:	skip;
	atomic {
		out = 0;
		if
		:: probeAt(b.agent, b.inc, b.seq, out, result)
		:: (!calm && losses > 0) -> losses--; probeAt(b.agent, b.inc, b.seq, out, result); out = UNREACHED
		:: (!calm && losses > 0) -> losses--; out = UNREACHED
		fi;
		if
		:: (out == ANSWERED) -> goto settleDone
		:: (out == BROKEN || out == REBORN) -> goto settleLost
		:: (out == ISRUNNING && !calm) -> finish(SAID_UNKNOWN) /* The request's time is over. */
		:: (out == ISRUNNING && calm) -> goto probe
		:: (out == UNREACHED && unreached < 1) -> unreached++; goto probe
		:: (out == UNREACHED && unreached >= 1) -> finish(SAID_UNKNOWN)
		:: (out == NOTLIVE && sends > 0) -> sends = 0; goto read
		:: (out == NOTLIVE && sends == 0) ->
			voided = b.version;
			if
#ifdef NO_REREAD
			:: refused -> evidence = runs; finish(SAID_NOTRUN)
#else
			:: refused -> goto read
#endif
			:: else -> goto ask
			fi
		fi
	}

read:	skip;
	atomic {
		if
		:: true
		:: (!calm && losses > 0) -> losses--; finish(SAID_UNKNOWN)
		fi;
		goto follow
	}
follow:	atomic {
		evidence = runs; sends = 0; out = 0; result = 0;
		copyBase();
		if
		:: (b.state == ABSENT && refused) -> finish(SAID_NOTRUN)
		:: (b.state == ABSENT && !refused) -> goto ask
		:: (b.state == INTENT && refused && b.version == voided) -> finish(SAID_NOTRUN)
		:: (b.state == INTENT && !(refused && b.version == voided)) -> goto probe
		:: (b.state == DONE) -> result = b.result; finish(SAID_DONE)
		:: (b.state == LOST) -> finish(SAID_LOST)
		fi
	}

settleDone:	atomic {
		writes = 0; goto writeDone
	}
writeDone: skip;
	atomic {
		writes++;
		write(b.version, DONE, b.owner, b.agent, b.inc, b.seq, result, out);
		if
		:: (out != FAILED) -> confirmAt(b.agent, b.inc, b.seq); finish(SAID_DONE)
		:: (out == FAILED && writes < 2) -> goto writeDone
		:: (out == FAILED && writes >= 2) -> finish(SAID_DONE)
		fi
	}

settleLost:	atomic {
		writes = 0; goto writeLost
	}
writeLost: skip;
	atomic {
		writes++;
		write(b.version, LOST, b.owner, b.agent, b.inc, b.seq, 0, out);
		if
		:: (out == COMMITTED) -> confirmAt(b.agent, b.inc, b.seq); finish(SAID_LOST)
		:: (out == CONFLICT && row.state == INTENT) -> goto follow
		:: (out == CONFLICT && row.state == DONE) -> result = row.result; confirmAt(b.agent, b.inc, b.seq); finish(SAID_DONE)
		:: (out == CONFLICT && row.state == LOST) -> confirmAt(b.agent, b.inc, b.seq); finish(SAID_LOST)
		:: (out == FAILED && writes < 2) -> goto writeLost
		:: (out == FAILED && writes >= 2) -> finish(SAID_UNKNOWN)
		fi
	}

over:	atomic {
		ended++; reply[i] = 0;
		a = 0; ic = 0; sq = 0; tickets = 0; writes = 0; sends = 0; unreached = 0; out = 0; result = 0; evidence = 0; voided = 0;
		refused = false;
		b.state = 0; b.version = 0; b.owner = 0; b.agent = 0; b.inc = 0; b.seq = 0; b.result = 0
	}
}

/* The third request comes when the others have ended, with no more failures: it must learn what became of the order. */
proctype Calm() {
	(ended == 2);
	atomic { losses = 0; crashes = 0; run Attempt(2, true) }
	(ended == 3);
	assert(said[2] == SAID_DONE || said[2] == SAID_LOST);
	/* What was said of the order stays true whatever has come since. */
	assert(!(said[0] == SAID_NOTRUN && ranBy == 0));
	assert(!(said[1] == SAID_NOTRUN && ranBy == 1));
	assert(!(said[0] == SAID_LOST && said[2] == SAID_DONE && runs == 0));
	assert(!(said[2] == SAID_DONE && runs != 1))
}

init {
	atomic {
		run AgentProc(0);
		run AgentProc(1);
		run Late();
		run Attempt(0, false);
		run Attempt(1, false);
		run Calm()
	}
}
