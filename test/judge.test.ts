import { test } from 'tap'
import { Caller, type Call, type Sending } from '../script/caller.js'
import { crashingText, runsOfCrashingRequest, type CrashingKind } from '../script/failure/crashing-request.js'
import { judge, lastWorkAfter, type Verdict } from '../script/judge.js'
import { digestBytes } from '../src/utils/digest.js'
import { tokenAt } from '../stand-in/engine.js'
import { listenHttp } from '../stand-in/http.js'
import type { RegisterLine } from '../stand-in/register.js'

const bookingCall: Call = { service: 'ledger', operation: 'sign-off', kind: 'plain', text: 'badge 7', tokens: 0, key: 'k', deadline: 100 }
const draftCall: Call = { service: 'drafts', operation: 'completions', kind: 'model', text: 'a hike', tokens: 2, key: '', deadline: 100 }

function sending (call: Call, end: Sending['end'], id: string): Sending {
  return { call, organisation: 'o', entry: 'e', id, end, failure: '', weights: '', sentAt: 0, endedAt: 1, retryAt: 0 }
}

function ran (id: string, at = 1): RegisterLine {
  return { event: 'ran', upstream: 'u', at, id, key: 'k', operation: 'sign-off', body: digestBytes('badge 7') }
}

function started (id: string): RegisterLine {
  return { event: 'started', upstream: 'u', at: 1, id, prompt: 'a hike', weights: 'w', resumeFrom: 0, running: 1, bound: 2 }
}

type Broken = Partial<Pick<Verdict, 'doubled' | 'falseNotRun' | 'overloads' | 'unrecorded' | 'wrong'>>

const judged: readonly { readonly name: string, readonly sendings: readonly Sending[], readonly register: readonly RegisterLine[], readonly broken: Broken }[] = [
  { name: 'passes one run that is answered twice', sendings: [sending(bookingCall, 'whole', 'a'), sending(bookingCall, 'whole', 'b')], register: [ran('a')], broken: {} },
  { name: 'finds a call that ran twice', sendings: [sending(bookingCall, 'whole', 'a'), sending(bookingCall, 'unknown', 'b')], register: [ran('a'), ran('b')], broken: { doubled: 1 } },
  { name: 'finds a call that ran twice under one id', sendings: [sending(bookingCall, 'whole', 'a')], register: [ran('a'), ran('a')], broken: { doubled: 1 } },
  { name: 'passes an idempotent call that ran twice', sendings: [sending(draftCall, 'whole', 'a')], register: [started('a'), started('a')], broken: {} },
  { name: 'finds a refusal that is not true', sendings: [sending(bookingCall, 'not-run', 'a')], register: [ran('a')], broken: { falseNotRun: 1 } },
  { name: 'finds a false refusal of a model request', sendings: [sending(draftCall, 'not-run', 'a')], register: [started('a')], broken: { falseNotRun: 1 } },
  { name: 'finds an answer that nobody made', sendings: [sending(bookingCall, 'whole', 'a')], register: [], broken: { unrecorded: 1 } },
  { name: 'finds an overload', sendings: [], register: [{ event: 'crashed', upstream: 'u', at: 1, overload: true }], broken: { overloads: 1 } },
  { name: 'passes a crash without overload', sendings: [], register: [{ event: 'crashed', upstream: 'u', at: 1, overload: false }], broken: {} },
  { name: 'finds a wrong answer', sendings: [sending(draftCall, 'wrong', 'a')], register: [started('a')], broken: { wrong: 1 } }
]

for (const { name, sendings, register, broken } of judged) {
  test(`the judge ${name}`, async t => {
    const { doubled, falseNotRun, overloads, unrecorded, wrong, findings } = judge(sendings, register, new Set(['ledger/sign-off']))
    t.same({ doubled, falseNotRun, overloads, unrecorded, wrong }, { doubled: 0, falseNotRun: 0, overloads: 0, unrecorded: 0, wrong: 0, ...broken })
    t.equal(findings.length, Object.keys(broken).length)
  })
}

test('the judge finds new work in a zone after it was taken out', async t => {
  const register = [ran('a', 10), ran('b', 5000), ran('c', 9000)]
  t.equal(lastWorkAfter(register, new Set(['u']), 100, 8000), 4900)
  t.equal(lastWorkAfter(register, new Set(['elsewhere']), 100, 8000), -1)
})

const line = (index: number, text = 'a hike'): string => JSON.stringify({ type: 'token', id: 'a', index, token: tokenAt('w', text, index) })
const endLine = JSON.stringify({ type: 'end', id: 'a', tokens: 2, weights: 'w' })
const failureLine = JSON.stringify({ type: 'failure', id: 'a', failure: 'upstream-lost', outcome: 'unknown', retryAt: 5 })

const answers: readonly { readonly name: string, readonly lines: readonly string[], readonly end: Sending['end'] }[] = [
  { name: 'takes a whole answer', lines: [line(0), line(1), endLine], end: 'whole' },
  { name: 'refuses an answer without its end', lines: [line(0), line(1)], end: 'cut' },
  { name: 'refuses an answer that lacks a token', lines: [line(0), endLine], end: 'wrong' },
  { name: 'refuses a token that came twice', lines: [line(0), line(0), line(1), endLine], end: 'wrong' },
  { name: 'refuses the answer to another prompt', lines: [line(0, 'a camp'), line(1, 'a camp'), endLine], end: 'wrong' },
  { name: 'refuses tokens of other weights', lines: [line(0), JSON.stringify({ type: 'token', id: 'a', index: 1, token: tokenAt('v', 'a hike', 1) }), endLine], end: 'wrong' },
  { name: 'takes a stated failure at its word', lines: [line(0), failureLine], end: 'unknown' }
]

for (const { name, lines, end } of answers) {
  test(`the caller ${name}`, async t => {
    const { server, port } = await listenHttp('127.0.0.1:0', (_request, response) => {
      response.end(lines.map(text => `${text}\n`).join(''))
      return undefined
    })
    const caller = new Caller('o', [])
    const result = await caller.send({ ...draftCall, deadline: Date.now() + 10_000 }, `127.0.0.1:${port}`)
    t.equal(result.end, end, result.failure)
    caller.close()
    server.close()
  })
}

const crashingRuns: readonly RegisterLine[] = [
  { event: 'ran', upstream: 'u', at: 1, id: 'look-up 1', key: '', operation: 'look-up', body: digestBytes(crashingText) },
  { event: 'ran', upstream: 'v', at: 2, id: 'look-up 1', key: '', operation: 'look-up', body: digestBytes(crashingText) },
  { event: 'ran', upstream: 'u', at: 3, id: 'sign-off 1', key: 'k', operation: 'sign-off', body: digestBytes(crashingText) },
  { event: 'ran', upstream: 'u', at: 4, id: 'other', key: 'k', operation: 'sign-off', body: digestBytes('badge 7') },
  { event: 'started', upstream: 'w', at: 5, id: 'completion 1', prompt: crashingText, weights: 'w', resumeFrom: 0, running: 1, bound: 2 },
  { event: 'started', upstream: 'w', at: 6, id: 'other', prompt: 'a hike', weights: 'w', resumeFrom: 0, running: 1, bound: 2 }
]

const countedRuns: ReadonlyArray<{ readonly kind: CrashingKind, readonly ids: readonly string[] }> = [
  { kind: 'completion', ids: ['completion 1'] },
  { kind: 'lookUp', ids: ['look-up 1', 'look-up 1'] },
  { kind: 'signOff', ids: ['sign-off 1'] }
]

for (const { kind, ids } of countedRuns) {
  test(`the runs of a crashing ${kind} do not include those of other crashing requests with the same text`, async t => {
    t.same(runsOfCrashingRequest(crashingRuns, kind).map(({ id }) => id), ids)
  })
}
