/** Whether a caller that honours the limits it was told finds its connection open, when the limits change meanwhile. */
import { test } from 'tap'
import { monotonicNow, sleepUntil } from '../src/utils/clock.js'
import { ChangingFleet, callerKey, firstConfiguration } from './fakes/changing-fleet.js'
import { encodeRequest, RawCaller, type Received } from './fakes/raw-caller.js'

const pause = (milliseconds: number): Promise<void> => sleepUntil(monotonicNow() + milliseconds)

interface Limits { readonly idle: number, readonly header: number }

interface Case {
  readonly name: string
  readonly before: Limits
  readonly after: Limits
  /** Brings the connection into its state, with the change at some point, and completes a request. */
  readonly play: (caller: RawCaller, change: () => void) => Promise<void>
}

const timeoutMilliseconds = 3500
/** Share of the idle timeout after which callers still use a connection. */
const idleShare = 0.8
const short: Limits = { idle: 1000, header: 1000 }
const long: Limits = { idle: 8000, header: 8000 }

const requestOf = (id: string, holdMilliseconds = 0): string => encodeRequest({ id, path: '/plain/1', key: callerKey, timeoutMilliseconds, holdMilliseconds }).head
const answerOf = (caller: RawCaller): Promise<Received> => caller.answer(monotonicNow() + timeoutMilliseconds)

const cases: readonly Case[] = [
  {
    name: 'a request in progress, answered after the idle timeout became shorter, and the next one within the time that its answer named',
    before: long,
    after: short,
    play: async (caller, change) => {
      caller.send(requestOf('first', 500))
      await pause(200)
      change()
      const first = await answerOf(caller)
      const named = first.kind === 'answer' ? Number(/^keep-alive: *timeout=(\d+)/im.exec(first.head)?.[1] ?? 0) * 1000 : 0
      await pause(named * idleShare)
      caller.send(requestOf('next'))
    }
  },
  {
    name: 'an idle connection whose timeout becomes shorter, used within the earlier one',
    before: long,
    after: short,
    play: async (caller, change) => {
      caller.send(requestOf('first'))
      await answerOf(caller)
      change()
      await pause(long.idle * idleShare)
      caller.send(requestOf('next'))
    }
  },
  {
    name: 'an idle connection whose timeout becomes longer, used within the later one',
    before: short,
    after: long,
    play: async (caller, change) => {
      caller.send(requestOf('first'))
      await answerOf(caller)
      await pause(200)
      change()
      await pause(long.idle * idleShare)
      caller.send(requestOf('next'))
    }
  },
  {
    name: 'a new connection without a request while the timeout becomes shorter, used within the earlier one',
    before: long,
    after: short,
    play: async (caller, change) => {
      await pause(200)
      change()
      await pause(long.idle * idleShare)
      caller.send(requestOf('next'))
    }
  },
  {
    name: 'a new connection without a request while the timeout becomes longer, used within the later one',
    before: short,
    after: long,
    play: async (caller, change) => {
      await pause(200)
      change()
      await pause(long.idle * idleShare)
      caller.send(requestOf('next'))
    }
  },
  {
    name: 'a head that began before the header timeout became shorter and ends within the earlier one',
    before: long,
    after: short,
    play: async (caller, change) => {
      const head = requestOf('next')
      caller.send(head.slice(0, 40))
      await pause(200)
      change()
      await pause(3000)
      caller.send(head.slice(40))
    }
  },
  {
    name: 'a head on a kept connection that began before the header timeout became shorter',
    before: long,
    after: short,
    play: async (caller, change) => {
      caller.send(requestOf('first'))
      await answerOf(caller)
      const head = requestOf('next')
      caller.send(head.slice(0, 40))
      await pause(200)
      change()
      await pause(3000)
      caller.send(head.slice(40))
    }
  },
  {
    name: 'a body that takes longer than the new timeouts',
    before: long,
    after: short,
    play: async (caller, change) => {
      const { head, body } = encodeRequest({ id: 'next', path: '/plain/1', method: 'POST', framing: 'length', body: 'x'.repeat(2000), key: callerKey, timeoutMilliseconds })
      caller.send(head + body.slice(0, 10))
      await pause(200)
      change()
      await pause(2500)
      caller.send(body.slice(10))
    }
  }
]

async function playCase ({ before, after, play }: Case): Promise<string> {
  const fleet = new ChangingFleet()
  const withLimits = ({ idle, header }: Limits): typeof firstConfiguration => ({ ...firstConfiguration, limits: { ...firstConfiguration.limits, 'idle-timeout-ms': idle, 'header-timeout-ms': header } })
  await fleet.start(withLimits(before))
  await pause(1500)
  const caller = new RawCaller(fleet.entry.callers)
  await play(caller, () => { fleet.configure(withLimits(after)) })
  const received = await answerOf(caller)
  caller.close()
  await fleet.stop()
  return received.kind === 'answer' ? String(received.status) : received.kind
}

// All cases are played at the same time, since each mostly waits.
const played = cases.map(playCase)

cases.forEach(({ name }, index) => {
  test(`limits change: ${name}`, async t => {
    t.equal(await played[index], '200')
  })
})
