/** A small deployment of real processes with callers, into which faults are injected. */
import type { Answers } from '../../src/types/answers.js'
import type { ListedInstance } from '../../src/types/platform.js'
import { seededRandom } from '../../src/utils/random.js'
import { setFaults, startDeployment, type RunningDeployment } from '../deployment.js'
import { Link } from '../link.js'
import type { StartedInstance } from '../launch.js'
import type { Sending } from '../caller.js'
import { Load } from '../load.js'
import { isOnAll, Operator, waitFor, waitForReplicas } from '../operator.js'

/** Names of the model service and the plain service of this deployment. */
export const modelService = 'drafts'
export const plainService = 'ledger'

const weightBytes = 1 << 20
const chunkBytes = 1 << 16
/** Probability that a fault affects the busiest upstream. */
const busiestProbability = 0.75
const callersPerOrganisation = 3
const callMilliseconds = 5000
const burstCallMilliseconds = 3000

/** Number of processes of a deployment. */
export interface DeploymentSize {
  readonly entries: number
  /** Upstreams of each service; each has an agent. */
  readonly upstreams: number
}

/** Default size of a deployment. */
export const defaultDeploymentSize: DeploymentSize = { entries: 2, upstreams: 2 }

/** Answers for two data centres, two organisations, a model service and a plain service. */
export function testAnswers (checksOrders: boolean): Answers {
  return {
    deployment: 'failures',
    weighting: 'service',
    whenIsolated: 'refuse',
    logDataCentre: 'north',
    dataCentres: [{ name: 'north', region: 'upper' }, { name: 'south', region: 'lower' }],
    organisations: [{ name: 'large-one', size: 'large' }, { name: 'small-one', size: 'small' }],
    services: [
      { name: modelService, kind: 'model', checksOrders, bearsCold: 2, bearsWarm: 8, firstByteMilliseconds: 580 },
      { name: plainService, kind: 'plain', nonIdempotent: ['sign-off'], bearsCold: 4, bearsWarm: 16, firstByteMilliseconds: 300 }
    ]
  }
}

/** A running deployment with its operator, its callers and links that can be interrupted. */
export class TestDeployment {
  readonly load: Load
  private readonly listOverrides = new Map<string, Partial<ListedInstance>>()
  private readonly additionalLoads: Load[] = []
  /** Manifests that were rolled out. */
  readonly manifests = new Set<string>()
  private version = 0
  private closed = false

  private constructor (
    readonly running: RunningDeployment,
    readonly operator: Operator,
    readonly answers: Answers,
    /** Links to the log, by instance. */
    readonly logLinks: ReadonlyMap<string, Link>,
    /** Links from entries to the agents, by instance. */
    readonly agentLinks: ReadonlyMap<string, Link>,
    readonly random: () => number,
    seed: number
  ) {
    this.load = this.makeLoad(seed, callersPerOrganisation, callMilliseconds)
  }

  /** Starts all processes and rolls out the first version; callers are not started yet. */
  static async start (seed: number, { entries, upstreams }: DeploymentSize = defaultDeploymentSize): Promise<TestDeployment> {
    const random = seededRandom(seed)
    const checksOrders = random() < 0.5
    const answers = testAnswers(checksOrders)
    const links = new Map<string, Link>()
    const flagsOf = linkLogs(links)
    const running = await startDeployment(answers, entries, { [modelService]: upstreams, [plainService]: upstreams }, { logLevel: 'warn', flagsOf })
    const agentLinks = linkAgents(running)
    const deployment = new TestDeployment(running, new Operator(running, answers), answers, links, agentLinks, random, seed)
    try {
      await running.publish(deployment.listed)
      await Promise.all(deployment.agents(modelService).map(async ({ upstream }) => upstream && await setFaults(upstream, { checksFence: checksOrders })))
      await deployment.operator.applyGenerated()
      const { manifest, acceptedAt } = await deployment.rollOutNext()
      await waitForReplicas(running, modelService, manifest, acceptedAt)
    } catch (error) {
      deployment.end()
      throw error
    }
    return deployment
  }

  get entries (): readonly StartedInstance[] {
    return this.running.instances.filter(({ listed }) => listed.role === 'entry')
  }

  agents (service?: string): readonly StartedInstance[] {
    return this.running.instances.filter(({ listed }) => listed.role === 'upstream' && (service === undefined || listed.service === service))
  }

  /** The published list of instances; the address of an agent is that of its link. */
  get listed (): readonly ListedInstance[] {
    return this.running.instances.map(({ listed }) => ({ ...listed, address: this.agentLinks.get(listed.instance)?.listen ?? listed.address, ...this.listOverrides.get(listed.instance) }))
  }

  /** Overrides members of an instance's line in addition to earlier overrides, and publishes the list. */
  async publishChanged (instance: string, change: Partial<ListedInstance>): Promise<void> {
    this.listOverrides.set(instance, { ...this.listOverrides.get(instance), ...change })
    await this.running.publish(this.listed)
  }

  /** Starts additional callers; `stopCallers` stops them too. */
  addCallers (callers: number): Load {
    const load = this.makeLoad(Math.floor(this.random() * 1e6), callers, burstCallMilliseconds)
    this.additionalLoads.push(load)
    load.start()
    return load
  }

  /** Stops all callers after their current calls; resolves with all sendings. */
  async stopCallers (): Promise<readonly Sending[]> {
    return (await Promise.all([this.load, ...this.additionalLoads].map(async load => await load.stop()))).flat()
  }

  /** Picks one of several at random, determined by the seed. */
  pick<Value> (choices: readonly Value[]): Value {
    const choice = choices[Math.floor(this.random() * choices.length)]
    if (choice === undefined) throw new Error('there is nothing to choose from')
    return choice
  }

  /** Picks an upstream, usually the one that ran the most requests, so that a fault affects requests. */
  pickBusy (choices: readonly StartedInstance[]): StartedInstance {
    if (this.random() >= busiestProbability) return this.pick(choices)
    const register = this.running.register()
    const work = ({ upstream }: StartedInstance): number => register.filter(line => (line.event === 'started' || line.event === 'ran') && line.upstream === upstream?.listen).length
    const [busiest] = [...choices].sort((left, right) => work(right) - work(left))
    return busiest ?? this.pick(choices)
  }

  /** Addresses of the upstreams in a data centre, as registers name them. */
  upstreamsIn (dataCentre: string): ReadonlySet<string> {
    return new Set(this.agents().flatMap(({ listed, upstream }) => listed.dataCentre === dataCentre && upstream !== undefined ? [upstream.listen] : []))
  }

  /** Rolls out the next version; resolves with its manifest once the command line has reported acceptance. */
  async rollOutNext (): Promise<{ readonly manifest: string, readonly acceptedAt: number }> {
    this.version += 1
    const rollout = await this.operator.rollOut(modelService, String(this.version), weightBytes, chunkBytes)
    this.manifests.add(rollout.manifest)
    return rollout
  }

  /** Waits until every engine reports the newest weights, including those of rollouts that start during the wait. */
  async waitForNewestWeights (): Promise<void> {
    await waitFor(`the newest weights on every ${modelService}`, async () => await isOnAll(this.agents(modelService), [...this.manifests].at(-1) ?? ''))
  }

  /** Last error output of every process, for the report of a failed scenario. */
  get processOutput (): string {
    return this.running.processes.filter(({ tail }) => tail !== '').map(({ name, tail }) => `--- ${name}\n${tail}`).join('\n')
  }

  private makeLoad (seed: number, callers: number, milliseconds: number): Load {
    return new Load({
      seed,
      organisations: this.answers.organisations.map(({ name }) => name),
      services: this.answers.services,
      entries: this.entries.map(({ listen }) => listen),
      callers,
      pauseMilliseconds: 60,
      tokens: 20,
      callMilliseconds: milliseconds,
      resendShare: 0.3
    })
  }

  end (): void {
    if (this.closed) return
    this.closed = true
    for (const link of [...this.logLinks.values(), ...this.agentLinks.values()]) link.close()
    this.operator.end()
    this.running.end()
  }
}

function linkAgents (running: RunningDeployment): ReadonlyMap<string, Link> {
  const agents = running.instances.filter(({ listed }) => listed.role === 'upstream')
  return new Map(agents.map(({ listed, listen }) => {
    const link = new Link(listen)
    link.open()
    return [listed.instance, link]
  }))
}

type FlagsOf = (instance: string, platform: Readonly<Record<string, string>>) => Readonly<Record<string, string>>

/** Puts a link between each instance and the log. */
function linkLogs (links: Map<string, Link>): FlagsOf {
  return (instance, platform) => {
    const existing = links.get(instance)
    if (existing !== undefined) return { log: `http://${existing.listen}` }
    const link = new Link((platform['log'] ?? '').replace('http://', ''))
    link.open()
    links.set(instance, link)
    return { log: `http://${link.listen}` }
  }
}
