/** Asks an operator for the answers of a new deployment, one question at a time, and checks them. */
import { createInterface } from 'node:readline/promises'
import { checkAnswers } from '../core/configuration/check-answers.js'
import { FindingsError } from '../errors.js'
import type { Answers } from '../types/answers.js'

/** Asks one question and resolves with the answer; rejects when the input ends. */
export type Ask = (question: string) => Promise<string>

const yesOrNo = ['yes', 'no'] as const

/** Asks all questions through `ask`; `showText` shows headings, and what is expected before an invalid answer is asked for again. Throws a `FindingsError` if the answers contradict each other. */
export async function askAnswers (ask: Ask, showText: (text: string) => void): Promise<Answers> {
  const prompter = new Prompter(ask, showText)
  const deployment = await prompter.name('Name of the deployment')
  const weighting = await prompter.choice('What weighs more: time to replicas, or service while a data centre moves?', ['replicas', 'service'])
  const dataCentres = await prompter.list('data centre', async () => ({ name: await prompter.name('  Name'), region: await prompter.name('  Region') }))
  const logDataCentre = await prompter.choice('In which data centre does the platform\'s log run?', dataCentres.map(({ name }) => name))
  const whenIsolated = await prompter.choice('What shall a node do that can confirm its configuration nowhere: refuse new work, or serve on?', ['refuse', 'serve'])
  const organisations = await prompter.list('organisation', async () => ({ name: await prompter.name('  Name'), size: await prompter.choice('  Size', ['large', 'small']) }))
  const services = await prompter.list('service', async () => await askService(prompter))
  return checkAnswers({ deployment, weighting, whenIsolated, logDataCentre, dataCentres, organisations, services })
}

/** Asks at the terminal; questions go to standard error, so that standard output can hold the answers file. Throws a `FindingsError` when the input ends early. */
export async function askAtTerminal (): Promise<Answers> {
  const terminal = createInterface({ input: process.stdin, output: process.stderr, terminal: process.stdin.isTTY })
  const lines = terminal[Symbol.asyncIterator]()
  const ask: Ask = async question => {
    process.stderr.write(question)
    const line = await lines.next()
    if (line.done === true) throw new FindingsError([{ place: question.trim(), problem: 'got no answer: the input ended; nothing was written' }])
    return line.value
  }
  try {
    return await askAnswers(ask, text => { process.stderr.write(`${text}\n`) })
  } finally {
    terminal.close()
  }
}

async function askService (prompter: Prompter): Promise<unknown> {
  const name = await prompter.name('  Name')
  const kind = await prompter.choice('  Model engines, or a plain service?', ['model', 'plain'])
  const special = kind === 'model'
    ? { kind, checksOrders: await prompter.choice('  Do the engines refuse an order with an old fencing number?', yesOrNo) === 'yes' }
    : { kind, nonIdempotent: await prompter.names('  Operations that may not be repeated, separated by commas (empty for none)') }
  const bearsCold = await prompter.count('  Requests at once that an instance bears just after a cold start')
  const bearsWarm = await prompter.count('  Requests at once that a warm instance bears at most')
  const firstByteMilliseconds = await prompter.count('  Milliseconds to the first byte of a healthy answer')
  return { name, ...special, bearsCold, bearsWarm, firstByteMilliseconds }
}

/** Questions by the type of their answer; each is repeated until the answer is valid. */
class Prompter {
  constructor (private readonly ask: Ask, private readonly showText: (text: string) => void) {}

  async name (question: string): Promise<string> {
    return await this.askUntilValid(question, 'lower-case letters, digits and hyphens', answer => isName(answer) ? answer : undefined)
  }

  async names (question: string): Promise<readonly string[]> {
    return await this.askUntilValid(question, 'names of lower-case letters, digits and hyphens', answer => {
      const names = answer.split(',').map(part => part.trim()).filter(part => part !== '')
      return names.every(isName) ? names : undefined
    })
  }

  async count (question: string): Promise<number> {
    return await this.askUntilValid(question, 'a whole number above zero', answer => /^[1-9]\d{0,8}$/.test(answer) ? Number(answer) : undefined)
  }

  async choice<Choice extends string> (question: string, choices: readonly Choice[]): Promise<Choice> {
    return await this.askUntilValid(`${question} (${choices.join('/')})`, `one of ${choices.join(', ')}`, answer => choices.find(choice => choice === answer))
  }

  /** Asks for at least one item, and after each whether another one follows. */
  async list<Item> (kind: string, askItem: () => Promise<Item>): Promise<readonly Item[]> {
    const items: Item[] = []
    do {
      this.showText(`${kind} ${items.length + 1}`)
      items.push(await askItem())
    } while (await this.choice(`Another ${kind}?`, yesOrNo) === 'yes')
    return items
  }

  /** Repeats a question until `read` accepts the answer; `expected` completes "please answer with". */
  private async askUntilValid<Value> (question: string, expected: string, read: (answer: string) => Value | undefined): Promise<Value> {
    for (;;) {
      const value = read((await this.ask(`${question}: `)).trim())
      if (value !== undefined) return value
      this.showText(`  please answer with ${expected}`)
    }
  }
}

function isName (text: string): boolean {
  return /^[a-z0-9][a-z0-9-]{0,62}$/.test(text)
}
