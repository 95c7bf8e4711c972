/** Runs a scenario: callers send requests while faults are injected and cleared; the upstreams' registers then show which requests ran. */
import { waitUntil } from '../../src/utils/clock.js'
import type { RegisterLine } from '../../stand-in/register.js'
import type { Sending } from '../caller.js'
import { countFailures, judge, type Verdict } from '../judge.js'
import { waitFor } from '../operator.js'
import { createFault } from './catalogue.js'
import type { Fault } from './fault.js'
import { TestDeployment, type DeploymentSize } from './test-deployment.js'

/** Time without faults before the first one. */
const baselineMilliseconds = 800
const maximumStartDelayMilliseconds = 800
const minimumFaultMilliseconds = 1000
const maximumFaultMilliseconds = 4000

/** Result of a scenario; it passed if there are no findings. */
export interface ScenarioResult {
  readonly name: string
  readonly seed: number
  readonly summary: Verdict
  readonly findings: readonly string[]
  /** Milliseconds from the end of the last fault until each service had sent a complete answer to a new request. */
  readonly recoveryMilliseconds: number
  /** Failures that callers received, with how often each occurred. */
  readonly failureCounts: ReadonlyArray<readonly [string, number]>
  /** Last error output of the processes. */
  readonly processOutput: string
}

/** Runs the named faults together on a fresh deployment. */
export async function runScenario (names: readonly string[], seed: number): Promise<ScenarioResult> {
  return await runSeries(names.map(name => [name]), seed)
}

/** Runs series of faults on a fresh deployment: the faults of one series follow each other, the series overlap. */
export async function runSeries (series: readonly (readonly string[])[], seed: number, size?: DeploymentSize): Promise<ScenarioResult> {
  const deployment = await TestDeployment.start(seed, size)
  try {
    return await injectFaults(deployment, series.map(names => names.map(createFault)), seed)
  } finally {
    deployment.end()
  }
}

interface PlannedFault { readonly fault: Fault, readonly startDelayMilliseconds: number, readonly durationMilliseconds: number }

async function injectFaults (deployment: TestDeployment, series: readonly (readonly Fault[])[], seed: number): Promise<ScenarioResult> {
  const faults = series.flat()
  deployment.load.start()
  await waitUntil(Date.now() + baselineMilliseconds)
  const errors: string[] = []
  const plans = series.map(planned => planned.map((fault): PlannedFault => ({ fault, startDelayMilliseconds: deployment.random() * maximumStartDelayMilliseconds, durationMilliseconds: minimumFaultMilliseconds + deployment.random() * (maximumFaultMilliseconds - minimumFaultMilliseconds) })))
  await Promise.all(plans.map(async planned => {
    for (const { fault, startDelayMilliseconds, durationMilliseconds } of planned) {
      await waitUntil(Date.now() + startDelayMilliseconds)
      await recordError(errors, `${fault.name} begin`, fault.inject(deployment))
      await waitUntil(Date.now() + durationMilliseconds)
      await recordError(errors, `${fault.name} heal`, fault.clear(deployment))
    }
  }))
  const clearedAt = Date.now()
  await recordError(errors, 'recovery', waitFor('whole answers of every service', async () => isServing(deployment, clearedAt)))
  const recoveryMilliseconds = Date.now() - clearedAt
  const sendings = await deployment.stopCallers()
  const register = deployment.running.register()
  const summary = judge(sendings, register, deployment.operator.nonIdempotent)
  const findings = [...errors, ...summary.findings, ...checkWeights(deployment, register), ...checkImpact(faults, sendings, deployment.entries.map(({ listed }) => listed.instance)), ...faults.flatMap(fault => fault.check(deployment, register, sendings))]
  return { name: faults.map(({ name }) => name).join('+'), seed, summary, findings, recoveryMilliseconds, failureCounts: countFailures(sendings), processOutput: deployment.processOutput }
}

function isServing (deployment: TestDeployment, since: number): boolean {
  const served = new Set(deployment.load.ended.filter(({ end, sentAt }) => end === 'whole' && sentAt >= since).map(({ call }) => call.service))
  return deployment.answers.services.every(({ name }) => served.has(name))
}

/** Findings for completions on weights that were never rolled out. */
function checkWeights (deployment: TestDeployment, register: readonly RegisterLine[]): readonly string[] {
  return register.flatMap(line => line.event === 'started' && !deployment.manifests.has(line.weights) ? [`${line.upstream} ran ${line.id} on the unknown weights ${line.weights.slice(0, 8)}`] : [])
}

/** Sendings that ended in a way that none of the faults permits; callers may reach no entry while all of them have been stopped. */
function checkImpact (faults: readonly Fault[], sendings: readonly Sending[], entries: readonly string[]): readonly string[] {
  const impacts = faults.map(({ impact }) => impact)
  const allowedEnds = new Set<Sending['end']>()
  if (impacts.includes('cut')) for (const end of ['cut', 'unreached', 'unknown'] as const) allowedEnds.add(end)
  if (impacts.includes('unknown')) allowedEnds.add('unknown')
  const downtimes = faults.flatMap(({ downtime }) => downtime ?? [])
  const isDown = (entry: string, at: number): boolean => downtimes.some(downtime => downtime.entry === entry && at >= downtime.from && at < downtime.until)
  const isWithoutEntry = ({ end, sentAt }: Sending): boolean => end === 'unreached' && entries.every(entry => isDown(entry, sentAt))
  const isSuspect = ({ end }: Sending): boolean => (end === 'cut' || end === 'unreached' || end === 'unknown') && !allowedEnds.has(end)
  const unexpectedSendings = sendings.filter(sending => isSuspect(sending) && !isWithoutEntry(sending))
  return unexpectedSendings.slice(0, maximumShownFindings).map(({ end, failure, entry, call, sentAt }) => `${end} without cause: ${failure} at ${entry}, ${call.service} "${call.text}" sent at ${sentAt}`)
}

const maximumShownFindings = 5

async function recordError (errors: string[], what: string, work: Promise<void>): Promise<void> {
  try {
    await work
  } catch (error) {
    errors.push(`${what}: ${String(error)}`)
  }
}
