/*
 * A Spin model of the protocol of core/order, which runs an order at most once.
 *
 * Two requests with the same idempotency key arrive at two entries. The table may lose replies and apply writes late;
 * the two agents may crash and lose their tickets. A third request starts after the first two have ended and runs
 * without faults.
 *
 * Attempt models attempt.go; the inlines redeemTicket, probeTicket and confirmTicket model ledger.go. Each of these
 * macros removes one safeguard of the protocol; the checker must then find a violation:
 *
 *   NO_VOID    a probe reports a live ticket as not live without voiding it
 *   NO_INC     the agent does not compare the incarnation of a ticket
 *   NO_INTENT  the ticket is redeemed before the intent row is written
 *   NO_CAS     a row's intent is replaced by another attempt's without comparing the version
 *   NO_REREAD  a ticket that is not live counts as proof that the order did not run, although the row may contain its
 *              answer by now
 *   EARLY_DROP the agent forgets an answer before the row is done
 */

#define AGENTS 2
#define MAX_SEQS 4
#define ATTEMPTS 3
#define MAX_TICKETS 2
#ifndef LOSSES
#define LOSSES 2
#endif
#ifndef CRASHES
#define CRASHES 1
#endif

/* States of the row, as order.State; NO_ROW means that there is none. */
#define NO_ROW 0
#define INTENT 1
#define DONE 2
#define UNKNOWN 3

/* States of a ticket in its agent's ledger; NONE means that it is not there. */
#define NONE 0
#define GRANTED 1
#define RUNNING 2
#define ENDED_ANSWERED 3
#define ENDED_LOST 4

/* Results of a call: reports of an agent, UNREACHABLE if it did not reply, and replies of the table. */
#define NOT_LIVE 1
#define NOT_SENT 2
#define IS_RUNNING 3
#define ANSWERED 4
#define ANSWER_LOST 5
#define RESTARTED 6
#define UNREACHABLE 7
#define COMMITTED 8
#define CONFLICT 9
#define FAILED 10

/*
 * Outcomes of an attempt. OUTCOME_PENDING means that the row is not final yet, OUTCOME_UNKNOWN that its final state is
 * UNKNOWN.
 */
#define OUTCOME_NONE 0
#define OUTCOME_DONE 1
#define OUTCOME_NOT_RUN 2
#define OUTCOME_PENDING 3
#define OUTCOME_UNKNOWN 4

typedef Row { byte state; byte version; byte owner; byte agent; byte inc; byte seq; byte result }
typedef Agent { byte inc; byte next; byte ticket[MAX_SEQS]; byte owner[MAX_SEQS]; byte intent[MAX_SEQS]; byte result[MAX_SEQS] }

Row row;
Agent ag[AGENTS];
byte losses = LOSSES;
byte crashes = CRASHES;

/*
 * Ghost variables for the assertions: how often the order ran, the attempt whose redemption ran it, and the outcome
 * that each caller was told. reply is the reply to the redemption of each attempt; ended counts ended attempts.
 */
byte runs = 0;
byte ranBy = 255;
byte outcome[ATTEMPTS];
byte reply[ATTEMPTS];
byte ended = 0;

/* The delayed write and redemption, at most one of each; they may arrive after their sender has timed out. */
Row lateRow; byte lateExpect; bool lateWrite = false;
byte lateAgent, lateInc, lateSeq, lateOwner, lateVersion; bool lateRedeem = false;

/* applyWrite stores a row if the stored row has the expected version. */
inline applyWrite(pExpect, pSt, pOw, pA, pIc, pSq, pRs, pOut) {
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

/* write may succeed, take effect without a reply, get lost, or be delayed. */
inline write(pExpect, pSt, pOw, pA, pIc, pSq, pRs, pOut) {
	atomic {
		if
		:: applyWrite(pExpect, pSt, pOw, pA, pIc, pSq, pRs, pOut)
		:: (losses > 0) -> losses--; applyWrite(pExpect, pSt, pOw, pA, pIc, pSq, pRs, pOut); pOut = FAILED
		:: (losses > 0) -> losses--; pOut = FAILED
		:: (losses > 0 && !lateWrite) -> losses--;
			lateWrite = true; lateExpect = pExpect;
			lateRow.state = pSt; lateRow.owner = pOw; lateRow.agent = pA; lateRow.inc = pIc; lateRow.seq = pSq; lateRow.result = pRs;
			pOut = FAILED
		fi
	}
}

/* Operations of an agent. */

/* CLEAR_TICKET removes a ticket and resets its fields, which would otherwise distinguish equal states. */
#define CLEAR_TICKET(x, q) ag[x].ticket[q] = NONE; ag[x].owner[q] = 0; ag[x].intent[q] = 0; ag[x].result[q] = 0

inline redeemTicket(pA, pIc, pSq, pOw, pVer, pOut) {
	if
#ifndef NO_INC
	:: (ag[pA].inc != pIc) -> pOut = RESTARTED
#endif
	:: else ->
		if
		:: (ag[pA].ticket[pSq] == GRANTED) ->
			ag[pA].ticket[pSq] = RUNNING; ag[pA].owner[pSq] = pOw; ag[pA].intent[pSq] = pVer; pOut = IS_RUNNING
		:: (ag[pA].ticket[pSq] == NONE) -> pOut = NOT_LIVE
		:: (ag[pA].ticket[pSq] == RUNNING) -> pOut = IS_RUNNING
		:: (ag[pA].ticket[pSq] == ENDED_ANSWERED) -> pOut = ANSWERED
		:: (ag[pA].ticket[pSq] == ENDED_LOST) -> pOut = ANSWER_LOST
		fi
	fi
}

inline probeTicket(pA, pIc, pSq, pOut, pRs) {
	if
#ifndef NO_INC
	:: (ag[pA].inc != pIc) -> pOut = RESTARTED
#endif
	:: else ->
		if
		:: (ag[pA].ticket[pSq] == GRANTED) ->
#ifndef NO_VOID
			CLEAR_TICKET(pA, pSq);
#endif
			pOut = NOT_LIVE
		:: (ag[pA].ticket[pSq] == NONE) -> pOut = NOT_LIVE
		:: (ag[pA].ticket[pSq] == RUNNING) -> pOut = IS_RUNNING
		:: (ag[pA].ticket[pSq] == ENDED_ANSWERED) -> pOut = ANSWERED; pRs = ag[pA].result[pSq]
		:: (ag[pA].ticket[pSq] == ENDED_LOST) -> pOut = ANSWER_LOST
		fi
	fi
}

inline confirmTicket(pA, pIc, pSq) {
	if
	:: (ag[pA].inc == pIc && (ag[pA].ticket[pSq] == ENDED_ANSWERED || ag[pA].ticket[pSq] == ENDED_LOST)) -> CLEAR_TICKET(pA, pSq)
	:: else
	fi
}

inline recordRun(pOw) { runs++; ranBy = pOw; assert(runs <= 1) }

#ifdef EARLY_DROP
#define END_RUN(q) CLEAR_TICKET(a, q)
#else
#define END_RUN(q) ag[a].result[q] = ag[a].owner[q]; ag[a].ticket[q] = ENDED_ANSWERED
#endif

/* settleTicket writes the final row of an ended order, as an entry does, and removes the ticket if the table replied. */
inline settleTicket(pQ, pState, pResult) {
	write(ag[a].intent[pQ], pState, ag[a].owner[pQ], a, ag[a].inc, pQ, pResult, out);
	if
	:: (out != FAILED) -> CLEAR_TICKET(a, pQ)
	:: else
	fi;
	out = 0
}

/* TICKET_STEPS are the transitions of the ticket with sequence number q: expiry, the ends of a run, and settling. */
#define TICKET_STEPS(q) \
	:: atomic { (ag[a].ticket[q] == GRANTED && ended < 2) -> CLEAR_TICKET(a, q) } \
	:: atomic { (ag[a].ticket[q] == RUNNING) -> \
		recordRun(ag[a].owner[q]); reply[ag[a].owner[q]] = ANSWERED; END_RUN(q) } \
	:: atomic { (ag[a].ticket[q] == RUNNING && ended < 2) -> \
		recordRun(ag[a].owner[q]); reply[ag[a].owner[q]] = ANSWER_LOST; ag[a].ticket[q] = ENDED_LOST } \
	:: atomic { (ag[a].ticket[q] == RUNNING && ended < 2) -> \
		reply[ag[a].owner[q]] = ANSWER_LOST; ag[a].ticket[q] = ENDED_LOST } \
	:: atomic { (ag[a].ticket[q] == RUNNING && ended < 2) -> \
		reply[ag[a].owner[q]] = NOT_SENT; CLEAR_TICKET(a, q) } \
	:: atomic { (ag[a].ticket[q] == ENDED_ANSWERED) -> settleTicket(q, DONE, ag[a].result[q]) } \
	:: atomic { (ag[a].ticket[q] == ENDED_LOST) -> settleTicket(q, UNKNOWN, 0) }

/* AgentProcess runs orders, expires tickets, settles rows that no entry has settled, and crashes. */
proctype AgentProcess(byte a) {
	byte sq, out;
end:
	do
	TICKET_STEPS(0)
	TICKET_STEPS(1)
	TICKET_STEPS(2)
	TICKET_STEPS(3)
	:: atomic { (crashes > 0 && ended < 2) -> crashes--;
		ag[a].inc++; ag[a].next = 0;
		sq = 0;
		do
		:: (sq < MAX_SEQS) ->
			if
			:: (ag[a].ticket[sq] == RUNNING && reply[ag[a].owner[sq]] == 0) -> reply[ag[a].owner[sq]] = UNREACHABLE
			:: else
			fi;
			/* The backend server may still run the order after its agent has crashed. */
			if
			:: (ag[a].ticket[sq] == RUNNING) -> recordRun(ag[a].owner[sq])
			:: true
			fi;
			CLEAR_TICKET(a, sq); sq++
		:: else -> break
		od;
		sq = 0
	   }
	od
}

/* DelayedMessages delivers the delayed write and the delayed redemption. */
proctype DelayedMessages() {
	byte out;
end:
	do
	:: atomic { lateWrite -> lateWrite = false;
		applyWrite(lateExpect, lateRow.state, lateRow.owner, lateRow.agent, lateRow.inc, lateRow.seq, lateRow.result, out); out = 0;
		lateExpect = 0; lateRow.state = 0; lateRow.owner = 0; lateRow.agent = 0; lateRow.inc = 0; lateRow.seq = 0; lateRow.result = 0 }
	:: atomic { lateRedeem -> lateRedeem = false;
		redeemTicket(lateAgent, lateInc, lateSeq, lateOwner, lateVersion, out); out = 0;
		lateAgent = 0; lateInc = 0; lateSeq = 0; lateOwner = 0; lateVersion = 0 }
	od
}

/* copyRow copies the stored row to b, the base of the next write. */
inline copyRow() {
	b.state = row.state; b.version = row.version; b.owner = row.owner;
	b.agent = row.agent; b.inc = row.inc; b.seq = row.seq; b.result = row.result
}

/*
 * finish ends the attempt with an outcome. OUTCOME_NOT_RUN requires that the order had not run when the evidence was
 * read and that this attempt has not run it.
 */
inline finish(pOutcome) {
	outcome[i] = pOutcome;
	assert(pOutcome != OUTCOME_NOT_RUN || (evidence == 0 && ranBy != i));
	assert(pOutcome != OUTCOME_DONE || (runs == 1 && result == ranBy));
	goto over
}

/*
 * Attempt is one request at one entry. Other processes may run at each label with a skip; between two of these labels
 * the attempt makes one call to the table or to an agent and processes its reply. faultFree is set for the last
 * request, which has no lost messages and may use one more ticket.
 */
proctype Attempt(byte i; bool faultFree) {
	Row b;
	byte a, ic, sq, tickets, writes, sends, unreached, out, result, evidence, voided;
	bool refused;

requestTicket:	skip;
	atomic {
		sends = 0; writes = 0; out = 0;
		if
		:: (tickets >= MAX_TICKETS + faultFree) -> finish(OUTCOME_PENDING)
		:: else -> tickets++
		fi;
		if
		:: (ag[0].next < MAX_SEQS) -> a = 0
		:: (ag[1].next < MAX_SEQS) -> a = 1
		:: (!faultFree) -> refused = true; goto read
		:: (faultFree && ag[0].next >= MAX_SEQS && ag[1].next >= MAX_SEQS) -> finish(OUTCOME_UNKNOWN) /* out of sequence numbers */
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
		:: (out == COMMITTED) -> copyRow(); goto redeem
		:: (out == CONFLICT && row.state == INTENT && row.owner == i && row.agent == a && row.inc == ic && row.seq == sq) ->
			copyRow(); goto redeem
		:: (out == CONFLICT && !(row.state == INTENT && row.owner == i && row.agent == a && row.inc == ic && row.seq == sq)) ->
			probeTicket(a, ic, sq, out, result); goto continueFromRow
		:: (out == FAILED && writes < 2) -> goto intent
		:: (out == FAILED && writes >= 2) -> probeTicket(a, ic, sq, out, result); finish(OUTCOME_PENDING)
		fi
	}

redeem:	skip;
	atomic {
		sends = 1; reply[i] = 0;
		if
		:: redeemTicket(a, ic, sq, i, b.version, out)
		:: (!faultFree && losses > 0) -> losses--; goto probe
		:: (!faultFree && losses > 0 && !lateRedeem) -> losses--;
			lateRedeem = true; lateAgent = a; lateInc = ic; lateSeq = sq; lateOwner = i; lateVersion = b.version;
			goto probe
		fi;
		if
		:: (out == IS_RUNNING) -> goto running
		:: else -> goto redeemed
		fi
	}
running: skip;
	if
	:: atomic { (reply[i] != 0) -> out = reply[i]; reply[i] = 0; result = i; goto redeemed }
	:: atomic { (!faultFree && losses > 0) -> losses--; goto probe }
	fi;

redeemed:	atomic {
		if
		:: (out == ANSWERED) -> goto settleDone
		:: (out == ANSWER_LOST) -> goto settleUnknown
		:: (out == NOT_LIVE) -> goto read
		:: (out == UNREACHABLE) -> goto probe
		:: ((out == NOT_SENT || out == RESTARTED) && tickets < MAX_TICKETS + faultFree) -> goto requestTicket
		:: ((out == NOT_SENT || out == RESTARTED) && tickets >= MAX_TICKETS + faultFree) ->
			refused = true; voided = b.version; goto read
		fi
	}

	/* probe probes the ticket in b: the attempt's own after a lost redemption, or another attempt's. */
probe:	skip;
	atomic {
		out = 0;
		if
		:: probeTicket(b.agent, b.inc, b.seq, out, result)
		:: (!faultFree && losses > 0) -> losses--; probeTicket(b.agent, b.inc, b.seq, out, result); out = UNREACHABLE
		:: (!faultFree && losses > 0) -> losses--; out = UNREACHABLE
		fi;
		if
		:: (out == ANSWERED) -> goto settleDone
		:: (out == ANSWER_LOST || out == RESTARTED) -> goto settleUnknown
		:: (out == IS_RUNNING && !faultFree) -> finish(OUTCOME_PENDING) /* The request's deadline has passed. */
		:: (out == IS_RUNNING && faultFree) -> goto probe
		:: (out == UNREACHABLE && unreached < 1) -> unreached++; goto probe
		:: (out == UNREACHABLE && unreached >= 1) -> finish(OUTCOME_PENDING)
		:: (out == NOT_LIVE && sends > 0) -> sends = 0; goto read
		:: (out == NOT_LIVE && sends == 0) ->
			voided = b.version;
			if
#ifdef NO_REREAD
			:: refused -> evidence = runs; finish(OUTCOME_NOT_RUN)
#else
			:: refused -> goto read
#endif
			:: else -> goto requestTicket
			fi
		fi
	}

read:	skip;
	atomic {
		if
		:: true
		:: (!faultFree && losses > 0) -> losses--; finish(OUTCOME_PENDING)
		fi;
		goto continueFromRow
	}
continueFromRow:	atomic {
		evidence = runs; sends = 0; out = 0; result = 0;
		copyRow();
		if
		:: (b.state == NO_ROW && refused) -> finish(OUTCOME_NOT_RUN)
		:: (b.state == NO_ROW && !refused) -> goto requestTicket
		:: (b.state == INTENT && refused && b.version == voided) -> finish(OUTCOME_NOT_RUN)
		:: (b.state == INTENT && !(refused && b.version == voided)) -> goto probe
		:: (b.state == DONE) -> result = b.result; finish(OUTCOME_DONE)
		:: (b.state == UNKNOWN) -> finish(OUTCOME_UNKNOWN)
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
		:: (out != FAILED) -> confirmTicket(b.agent, b.inc, b.seq); finish(OUTCOME_DONE)
		:: (out == FAILED && writes < 2) -> goto writeDone
		:: (out == FAILED && writes >= 2) -> finish(OUTCOME_DONE)
		fi
	}

settleUnknown:	atomic {
		writes = 0; goto writeUnknown
	}
writeUnknown: skip;
	atomic {
		writes++;
		write(b.version, UNKNOWN, b.owner, b.agent, b.inc, b.seq, 0, out);
		if
		:: (out == COMMITTED) -> confirmTicket(b.agent, b.inc, b.seq); finish(OUTCOME_UNKNOWN)
		:: (out == CONFLICT && row.state == INTENT) -> goto continueFromRow
		:: (out == CONFLICT && row.state == DONE) -> result = row.result; confirmTicket(b.agent, b.inc, b.seq); finish(OUTCOME_DONE)
		:: (out == CONFLICT && row.state == UNKNOWN) -> confirmTicket(b.agent, b.inc, b.seq); finish(OUTCOME_UNKNOWN)
		:: (out == FAILED && writes < 2) -> goto writeUnknown
		:: (out == FAILED && writes >= 2) -> finish(OUTCOME_PENDING)
		fi
	}

over:	atomic {
		ended++; reply[i] = 0;
		a = 0; ic = 0; sq = 0; tickets = 0; writes = 0; sends = 0; unreached = 0; out = 0; result = 0; evidence = 0; voided = 0;
		refused = false;
		b.state = 0; b.version = 0; b.owner = 0; b.agent = 0; b.inc = 0; b.seq = 0; b.result = 0
	}
}

/* FinalRequest runs the third request, without faults, after the others have ended. It must find the order's outcome. */
proctype FinalRequest() {
	(ended == 2);
	atomic { losses = 0; crashes = 0; run Attempt(2, true) }
	(ended == 3);
	assert(outcome[2] == OUTCOME_DONE || outcome[2] == OUTCOME_UNKNOWN);
	/* The outcomes that callers were told must still hold. */
	assert(!(outcome[0] == OUTCOME_NOT_RUN && ranBy == 0));
	assert(!(outcome[1] == OUTCOME_NOT_RUN && ranBy == 1));
	assert(!(outcome[0] == OUTCOME_UNKNOWN && outcome[2] == OUTCOME_DONE && runs == 0));
	assert(!(outcome[2] == OUTCOME_DONE && runs != 1))
}

init {
	atomic {
		run AgentProcess(0);
		run AgentProcess(1);
		run DelayedMessages();
		run Attempt(0, false);
		run Attempt(1, false);
		run FinalRequest()
	}
}
