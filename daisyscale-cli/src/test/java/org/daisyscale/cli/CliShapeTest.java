package org.daisyscale.cli;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

@AnalyzeClasses(packages = "org.daisyscale.cli", importOptions = ImportOption.DoNotIncludeTests.class)
class CliShapeTest {

    @ArchTest
    void shouldDecideWithoutInputOrOutput(JavaClasses classes) {
        ArchRule rule = noClasses()
                .that()
                .resideInAPackage("..decision..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("java.io..", "java.nio..", "java.net..", "ratpack..", "picocli..", "..output..");

        rule.check(classes);
    }

    @ArchTest
    void shouldComputeBurnWithoutInputOrOutput(JavaClasses classes) {
        ArchRule rule = noClasses()
                .that()
                .haveSimpleName("BurnArithmetic")
                .or()
                .haveSimpleName("BurnTimeline")
                .or()
                .haveSimpleName("CounterSeries")
                .or()
                .haveSimpleName("MetricsReader")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("java.io..", "java.nio..", "java.net..", "ratpack..", "picocli..");

        rule.check(classes);
    }

    @ArchTest
    void shouldNotDependOnRouterOrTestkit(JavaClasses classes) {
        ArchRule rule = noClasses()
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("org.daisyscale.router..", "org.daisyscale.testkit..");

        rule.check(classes);
    }
}
